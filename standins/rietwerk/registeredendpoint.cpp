#include "registeredendpoint.h"

#include "../spawn.h"

#include "answertext.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/httphead.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondmill::standin::rietwerk {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// Queue length per slot; further requests are answered with status 503.
constexpr std::uint32_t QueuedRequestsPerSlot = 3;

/// Timeout of one write of the registration.
constexpr milliseconds WriteTimeout{1000};

/// Delay before the next write while the endpoint is not registered.
constexpr milliseconds WriteRetryDelay{300};

/// HTTP status 421: the request was meant for another incarnation or weights version.
constexpr unsigned MisdirectedRequestStatus = 421;

std::string secondsOf(milliseconds time)
{
    return absl::StrCat(std::chrono::duration<double>(time).count());
}

std::string chunk(const std::string &text)
{
    return absl::StrCat(absl::Hex(text.size()), "\r\n", text, "\r\n");
}

} // namespace

RegisteredEndpoint::RegisteredEndpoint(asio::io_context &loop, EndpointPlan plan,
                                       const std::string &store, EndpointObserver &observer)
    : m_loop(loop)
    , m_plan(std::move(plan))
    , m_observer(observer)
    , m_adapter(PlatformAdapterRegistry::create("rietwerk"))
    , m_store(m_adapter->makeStore(loop.get_executor(), parseSocketAddress(store)))
    , m_heartbeatTimer(loop)
    , m_random(hash64(m_plan.id))
    , m_startedAt(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch()))
    , m_weightsVersion(m_plan.model.empty() ? 0 : m_plan.weightsVersion)
    , m_listener(loop, m_plan.listen,
                 [this](const HttpRequest &request, HttpConnection &connection) {
                     return handle(request, connection);
                 })
{
    if (m_plan.announced.empty())
        m_plan.announced = m_listener.address();
    spawn(m_loop, keepRegistered());
}

RegisteredEndpoint::~RegisteredEndpoint() = default;

void RegisteredEndpoint::drain()
{
    m_draining = true;
    m_leaving = true;
    m_heartbeatTimer.cancel();
}

void RegisteredEndpoint::crash()
{
    m_alive = false;
    m_sendsHeartbeats = false;
    m_listener.crash();
}

RegisteredEndpoint::Awaitable<bool> RegisteredEndpoint::handle(const HttpRequest &request,
                                                               HttpConnection &connection)
{
    const std::string expected = headerOf(request, "Expect-Instance");
    if (!expected.empty() && expected != m_plan.id)
        co_return co_await connection.send(emptyAnswer(MisdirectedRequestStatus, request));
    if (!m_plan.model.empty() && request.target() == "/v1/report")
        co_return co_await connection.send(report());
    if (!m_plan.model.empty() && request.target() == "/v1/order")
        co_return co_await handleOrder(request, connection);
    const auto weights = parseNumber(headerOf(request, "Expect-Version"));
    if (weights && *weights != m_weightsVersion)
        co_return co_await connection.send(emptyAnswer(MisdirectedRequestStatus, request));
    const auto wantsPause = pause(std::chrono::steady_clock::now());
    const bool isFull = m_running >= m_plan.slots * (1 + QueuedRequestsPerSlot);
    if (m_loading || isFull || wantsPause) {
        HttpAnswer answer = emptyAnswer(unsigned(http::status::service_unavailable), request);
        answer.set("Not-Executed", "1");
        if (wantsPause)
            answer.set("Retry-After", secondsOf(*wantsPause));
        m_observer.requestRefused(m_plan, request, wantsPause);
        co_return co_await connection.send(std::move(answer));
    }
    ++m_running;
    m_observer.requestBegan(m_plan, request, m_weightsVersion);
    const bool keep = co_await run(request, connection);
    --m_running;
    co_return keep;
}

std::optional<milliseconds> RegisteredEndpoint::pause(std::chrono::steady_clock::time_point now)
{
    if (now >= m_pausedUntil && occursWithProbability(m_plan.pauseRatio)) {
        std::uniform_int_distribution<milliseconds::rep> length(1, m_plan.maxPause.count());
        m_pausedUntil = now + milliseconds(length(m_random));
    }
    if (now >= m_pausedUntil)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(m_pausedUntil - now);
}

RegisteredEndpoint::Awaitable<bool> RegisteredEndpoint::run(const HttpRequest &request,
                                                            HttpConnection &connection)
{
    const std::uint32_t rounds = (m_running + m_plan.slots - 1) / m_plan.slots;
    co_await sleepFor(m_loop, m_plan.work * rounds);
    if (!m_alive || connection.isClosedByCaller())
        co_return false;
    if (occursWithProbability(m_faults.lostAnswerRatio)) {
        connection.reset();
        co_return false;
    }
    if (occursWithProbability(m_faults.failedRatio)) {
        HttpAnswer answer = emptyAnswer(unsigned(http::status::internal_server_error), request);
        answer.set("Server-Signature", signatureOf(m_plan.id, headerOf(request, "Request-Id")));
        co_return co_await connection.send(std::move(answer));
    }
    if (m_plan.model.empty())
        co_return co_await sendCompleteResponse(request, connection);
    co_return co_await sendStream(request, connection);
}

RegisteredEndpoint::Awaitable<bool>
RegisteredEndpoint::sendCompleteResponse(const HttpRequest &request, HttpConnection &connection)
{
    const std::string requestId = headerOf(request, "Request-Id");
    HttpAnswer answer(http::status::ok, 11);
    answer.set("Request-Id", requestId);
    answer.set("Server-Signature", signatureOf(m_plan.id, requestId));
    addStatements(answer);
    answer.body() = bodyFor(request);
    if (occursWithProbability(m_faults.cutAnswerRatio)) {
        const std::string head = absl::StrCat(
                "HTTP/1.1 200 OK\r\nRequest-Id: ", requestId,
                "\r\nServer-Signature: ", signatureOf(m_plan.id, requestId), "\r\n",
                statementLines(), "Content-Length: ", answer.body().size(), "\r\n\r\n");
        co_await connection.write(head + answer.body().substr(0, answer.body().size() / 2));
        connection.reset();
        co_return false;
    }
    co_return co_await connection.send(std::move(answer));
}

RegisteredEndpoint::Awaitable<bool> RegisteredEndpoint::sendStream(const HttpRequest &request,
                                                                   HttpConnection &connection)
{
    const std::string requestId = headerOf(request, "Request-Id");
    const std::uint64_t last = requestedEventCount(request);
    const std::uint64_t cutAfter = occursWithProbability(m_faults.cutAnswerRatio) ? last / 2 : last;
    std::uint64_t version = m_weightsVersion;
    const std::string head = absl::StrCat(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ", requestId,
            "\r\nServer-Signature: ", signatureOf(m_plan.id, requestId),
            "\r\nWeight-Versions: ", version, "\r\n", statementLines(),
            "Transfer-Encoding: chunked\r\n\r\n");
    if (!co_await connection.write(head))
        co_return false;
    const auto done = parseNumber(headerOf(request, "Last-Event-Id")).value_or(0);
    for (std::uint64_t number = done + 1; number <= last; ++number) {
        if (!m_alive || connection.isClosedByCaller())
            co_return false;
        if (number > cutAfter) {
            connection.reset();
            co_return false;
        }
        std::string event = eventFor(requestId, number);
        if (version != m_weightsVersion) {
            version = m_weightsVersion;
            event = absl::StrCat("weight-versions: ", version, "\n", event);
        }
        if (!co_await connection.write(chunk(event)))
            co_return false;
        co_await sleepFor(m_loop, m_plan.eventGap);
    }
    co_return co_await connection.write("0\r\n\r\n");
}

RegisteredEndpoint::Awaitable<bool> RegisteredEndpoint::handleOrder(const HttpRequest &request,
                                                                    HttpConnection &connection)
{
    const json body = json::parse(request.body(), nullptr, false);
    const bool isOrder = body.is_object() && body.value("operation", "") == "version"
                         && body.contains("holder") && body.contains("fencing_token")
                         && body.value("model", "") == m_plan.model;
    if (!isOrder)
        co_return co_await connection.send(
                emptyAnswer(unsigned(http::status::bad_request), request));
    const auto version = body.value("version", std::uint64_t(0));
    if (version == m_weightsVersion && !m_loading)
        co_return co_await connection.send(emptyAnswer(unsigned(http::status::ok), request));
    if (m_loading || body.value("expected", m_acceptedOrders) != m_acceptedOrders)
        co_return co_await connection.send(emptyAnswer(unsigned(http::status::conflict), request));
    ++m_acceptedOrders;
    m_loading = true;
    m_observer.orderTaken(m_plan, {body["holder"], body["fencing_token"], version});
    spawn(m_loop, load(version));
    co_return co_await connection.send(emptyAnswer(unsigned(http::status::accepted), request));
}

RegisteredEndpoint::Awaitable<void> RegisteredEndpoint::load(std::uint64_t version)
{
    co_await sleepFor(m_loop, m_plan.loadTime);
    m_weightsVersion = version;
    m_loading = false;
    m_heartbeatTimer.cancel();
}

RegisteredEndpoint::Awaitable<void> RegisteredEndpoint::keepRegistered()
{
    while (m_sendsHeartbeats) {
        co_await writeEntry();
        m_heartbeatTimer.expires_after(m_entryVersion == 0 ? WriteRetryDelay : m_plan.heartbeat);
        // drain() and load() cancel the timer so that the entry is written immediately.
        boost::system::error_code ignored;
        co_await m_heartbeatTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

RegisteredEndpoint::Awaitable<void> RegisteredEndpoint::writeEntry()
{
    const auto deadline = std::chrono::steady_clock::now() + WriteTimeout;
    UpdateResult result;
    if (m_entryVersion == 0)
        result = co_await m_store->create(ObjectKind::Registrations, m_plan.id, entry(), deadline);
    else
        result = co_await m_store->update(ObjectKind::Registrations, m_plan.id, entry(),
                                          m_entryVersion, deadline);
    if (const auto *applied = std::get_if<Applied>(&result))
        m_entryVersion = applied->version;
    else if (const auto *conflict = std::get_if<Conflict>(&result))
        m_entryVersion = conflict->current ? conflict->current->version : 0;
}

std::string RegisteredEndpoint::entry()
{
    json models = json::array();
    if (!m_plan.model.empty())
        models.push_back({{"name", m_plan.model},
                          {"version", m_weightsVersion},
                          {"adapters", json::array()}});
    return json{{"service", m_plan.service},
                {"address", m_plan.announced},
                {"zone", m_plan.dataCentre},
                {"version", "standin-1"},
                {"slots", m_plan.slots},
                {"state", m_draining ? "draining" : "ready"},
                {"cold_remaining_ms", 0},
                {"sequence", ++m_heartbeatSequence},
                {"born", m_startedAt.count()},
                {"stage", "colocated"},
                {"models", models}}
            .dump();
}

HttpAnswer RegisteredEndpoint::emptyAnswer(unsigned status, const HttpRequest &request) const
{
    HttpAnswer answer(http::int_to_status(status), 11);
    answer.set("Request-Id", headerOf(request, "Request-Id"));
    answer.set("Instance-Id", m_plan.id);
    addStatements(answer);
    return answer;
}

void RegisteredEndpoint::addStatements(HttpAnswer &answer) const
{
    if (m_leaving)
        answer.set("Server-Leaving", "1");
    if (m_rateLimit)
        answer.set("Server-Limit", absl::StrCat(*m_rateLimit));
}

std::string RegisteredEndpoint::statementLines() const
{
    std::string lines = m_leaving ? "Server-Leaving: 1\r\n" : "";
    if (m_rateLimit)
        absl::StrAppend(&lines, "Server-Limit: ", *m_rateLimit, "\r\n");
    return lines;
}

HttpAnswer RegisteredEndpoint::report() const
{
    HttpAnswer answer(http::status::ok, 11);
    answer.set(http::field::content_type, "application/json");
    answer.body() = json{
            {"stage", "colocated"},
            {"models", json::array({{{"name", m_plan.model},
                                     {"version", m_weightsVersion},
                                     {"adapters", json::array()}}})},
            {"busy", m_loading},
            {"sequence", m_acceptedOrders},
            {"queued", 0},
            {"running",
             m_running}}.dump();
    return answer;
}

bool RegisteredEndpoint::occursWithProbability(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace almondmill::standin::rietwerk
