#include "metadataserver.h"

#include "../spawn.h"
#include "percentdecoding.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/httphead.h"
#include "almondmill/kernel/abslview.h"

#include <absl/strings/str_split.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>

namespace almondmill::standin::rietwerk {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view ObjectsPath = "/v1/objects/";

/// Rises by one each time that the store returns to an older copy.
constexpr const char *StoreEra = "Store-Era";

/// Kind of the objects with which endpoints register.
constexpr const char *RegistrationKind = "servers";

/// Registrations expire after three of the platform's heartbeat intervals of 1.2 s.
constexpr milliseconds RegistrationTtl{3600};
constexpr milliseconds ExpiryInterval{200};

/// Time for which Fault::Silent holds a call open.
constexpr milliseconds SilentFaultDuration{30000};

/// Upper bound of a watch's `wait_ms`.
constexpr std::uint64_t MaxWatchWaitMs = 30000;

json encode(const MetadataObject &object)
{
    return {{"metadata",
             {{"name", object.name},
              {"revision", object.revision},
              {"created", object.created},
              {"finalizers", json::array()}}},
            {"spec", object.spec},
            {"status", json::object()}};
}

HttpAnswer answerWith(http::status status, const json &body)
{
    HttpAnswer answer(status, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = body.dump();
    return answer;
}

HttpAnswer answerWith(http::status status)
{
    return answerWith(status, json::object());
}

HttpAnswer answerFor(const MetadataStore::Outcome &outcome, http::status done)
{
    const json body = outcome.object ? encode(*outcome.object) : json::object();
    switch (outcome.result) {
    case MetadataStore::Result::Done:
        return answerWith(done, body);
    case MetadataStore::Result::Missing:
        return answerWith(http::status::not_found, body);
    case MetadataStore::Result::Exists:
    case MetadataStore::Result::RevisionMismatch:
        break;
    }
    return answerWith(http::status::conflict, body);
}

std::optional<std::uint64_t> revisionIn(const json &metadata)
{
    const auto found = metadata.find("revision");
    if (found == metadata.end())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

} // namespace

struct MetadataServer::Target
{
    std::string kind;
    std::string name;
    std::map<std::string, std::string> query;

    std::optional<std::uint64_t> number(const std::string &field) const
    {
        const auto found = query.find(field);
        return found == query.end() ? std::nullopt : parseNumber(found->second);
    }

    /// Returns nothing if the path does not start with ObjectsPath.
    static std::optional<Target> parse(std::string_view text)
    {
        if (text.substr(0, ObjectsPath.size()) != ObjectsPath)
            return std::nullopt;
        const std::pair<std::string, std::string> pathAndQuery =
                absl::StrSplit(abslView(text.substr(ObjectsPath.size())), absl::MaxSplits('?', 1));
        const std::pair<std::string, std::string> kindAndName =
                absl::StrSplit(pathAndQuery.first, absl::MaxSplits('/', 1));
        Target target{kindAndName.first, percentDecoded(kindAndName.second), {}};
        for (const absl::string_view field :
             absl::StrSplit(pathAndQuery.second, '&', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> nameAndValue =
                    absl::StrSplit(field, absl::MaxSplits('=', 1));
            target.query.emplace(nameAndValue.first, queryDecoded(nameAndValue.second));
        }
        return target;
    }
};

MetadataServer::MetadataServer(asio::io_context &loop, const std::string &address)
    : m_loop(loop)
    , m_listener(loop, address, [this](const HttpRequest &request, HttpConnection &connection) {
        return handle(request, connection);
    })
{
    m_store.onChange([this] {
        for (asio::steady_timer *timer : m_watchTimers)
            timer->cancel();
    });
    spawn(m_loop, expireEndpoints());
}

void MetadataServer::setFault(Fault fault, milliseconds delay)
{
    m_fault = fault;
    m_delay = delay;
}

MetadataServer::Awaitable<bool> MetadataServer::handle(const HttpRequest &request,
                                                       HttpConnection &connection)
{
    ++m_calls;
    const auto target = Target::parse({request.target().data(), request.target().size()});
    if (!target)
        co_return co_await connection.send(answerWith(http::status::not_found));
    const Fault fault = m_fault;
    if (fault == Fault::Busy)
        co_return co_await connection.send(answerWith(http::status::service_unavailable));
    if (fault == Fault::Silent) {
        co_await sleepFor(m_loop, SilentFaultDuration);
        co_return false;
    }
    if (fault == Fault::Slow)
        co_await sleepFor(m_loop, m_delay);
    HttpAnswer answer = co_await answerTo(request, *target);
    if (m_store.era() != 0)
        answer.set(StoreEra, std::to_string(m_store.era()));
    const bool isChange = request.method() != http::verb::get;
    if (fault == Fault::LoseAnswer && isChange)
        co_return false;
    co_return co_await connection.send(std::move(answer));
}

MetadataServer::Awaitable<HttpAnswer> MetadataServer::answerTo(const HttpRequest &request,
                                                               const Target &target)
{
    if (request.method() != http::verb::get)
        co_return change(request, target);
    if (target.query.contains("watch"))
        co_return co_await watch(target);
    if (!target.name.empty()) {
        const auto object = m_store.find(target.kind, target.name);
        if (!object)
            co_return answerWith(http::status::not_found);
        co_return answerWith(http::status::ok, encode(*object));
    }
    co_return list(target);
}

HttpAnswer MetadataServer::list(const Target &target) const
{
    const auto after = target.query.find("after");
    json items = json::array();
    bool hasMore = false;
    for (const MetadataObject &object : m_store.list(target.kind)) {
        if (after != target.query.end() && object.name <= after->second)
            continue;
        hasMore = items.size() == m_pageSize;
        if (hasMore)
            break;
        items.push_back(encode(object));
    }
    return answerWith(http::status::ok, {{"items", std::move(items)},
                                         {"more", hasMore},
                                         {"store_revision", m_store.revision()}});
}

HttpAnswer MetadataServer::change(const HttpRequest &request, const Target &target)
{
    const Time now = std::chrono::steady_clock::now();
    if (request.method() == http::verb::delete_)
        return answerFor(m_store.remove(target.kind, target.name, target.number("revision")),
                         http::status::ok);
    const json body = json::parse(request.body(), nullptr, false);
    if (!body.is_object() || !body.contains("metadata") || !body.contains("spec"))
        return answerWith(http::status::bad_request);
    const json &metadata = body["metadata"];
    if (request.method() == http::verb::post)
        return answerFor(m_store.create(target.kind, metadata.value("name", ""), body["spec"], now),
                         http::status::created);
    return answerFor(
            m_store.replace(target.kind, target.name, body["spec"], revisionIn(metadata), now),
            http::status::ok);
}

MetadataServer::Awaitable<HttpAnswer> MetadataServer::watch(const Target &target)
{
    const std::uint64_t after = target.number("watch").value_or(0);
    const milliseconds wait(std::min(target.number("wait_ms").value_or(0), MaxWatchWaitMs));
    const Time until = std::chrono::steady_clock::now() + wait;
    for (;;) {
        const auto events = m_store.eventsAfter(target.kind, after);
        if (!events)
            co_return answerWith(http::status::gone);
        const bool isOver = std::chrono::steady_clock::now() >= until;
        if (events->empty() && !isOver) {
            co_await waitForChange(until);
            continue;
        }
        json list = json::array();
        for (const MetadataEvent &event : *events)
            list.push_back({{"object", encode(event.object)}, {"deleted", event.deleted}});
        co_return answerWith(http::status::ok,
                             {{"events", list}, {"store_revision", m_store.revision()}});
    }
}

MetadataServer::Awaitable<void> MetadataServer::waitForChange(Time until)
{
    asio::steady_timer timer(m_loop, until);
    m_watchTimers.insert(&timer);
    boost::system::error_code ignored; // A change cancels the timer.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    m_watchTimers.erase(&timer);
}

MetadataServer::Awaitable<void> MetadataServer::expireEndpoints()
{
    for (;;) {
        co_await sleepFor(m_loop, ExpiryInterval);
        m_store.expire(RegistrationKind, std::chrono::steady_clock::now() - RegistrationTtl);
    }
}

} // namespace almondmill::standin::rietwerk
