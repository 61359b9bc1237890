#include "callers.h"

#include "standins/spawn.h"

#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>

namespace almondmill::soak {

namespace asio = boost::asio;
namespace beast = boost::beast;

using std::chrono::milliseconds;

namespace {

/// Pause between two requests of one caller.
constexpr milliseconds ThinkTime{60};

/// Pause after a request without an answer or a failed connection attempt.
constexpr milliseconds PauseAfterFailure{100};

constexpr milliseconds ConnectTimeout{1000};

constexpr milliseconds PlainTimeout{1500};
constexpr milliseconds StreamTimeout{6000};

/// A caller waits this much longer than the deadline that it sends, to detect late answers.
constexpr milliseconds LateAnswerWait{1500};

/// Requests whose caller disconnects before the end of the answer.
constexpr double EarlyDisconnectRatio = 0.03;
constexpr milliseconds EarlyDisconnectStep{20};
constexpr std::size_t MaxEarlyDisconnectSteps = 10;

constexpr double ForgedHeadersRatio = 0.2;
constexpr double WrongKeyRatio = 0.02;
constexpr double IsolatedKeyRatio = 0.1;
constexpr double ExtraRouteRatio = 0.3;

constexpr std::size_t MaxEvents = 60;
constexpr std::size_t Sessions = 40;

/// Headers that only the router may set.
constexpr const char *ForgedHeaders =
        "Hold: forged\r\nTenant: forged\r\nKv-From: forged\r\nKv-Backup: forged\r\n"
        "Cache-Salt: forged\r\nKv-Fetch-From: forged\r\nPin-Ms: 4000\r\n";

} // namespace

Callers::Callers(asio::io_context &loop, std::vector<std::string> routers, SoakHistory &history,
                 std::uint64_t seed)
    : m_loop(loop)
    , m_routers(std::move(routers))
    , m_history(history)
    , m_random(seed)
    , m_idPrefix(absl::StrCat("s", seed, "-"))
{}

void Callers::start(std::size_t callers)
{
    for (std::size_t caller = 0; caller < callers; ++caller) {
        ++m_active;
        standin::spawn(m_loop, sendRequests());
    }
}

Callers::Awaitable<void> Callers::sendRequests()
{
    Connection connection;
    while (!m_stopping) {
        if (!connection.stream && !co_await connect(connection)) {
            co_await sleepFor(m_loop, PauseAfterFailure);
            continue;
        }
        std::string request;
        Attempt attempt = buildRequest(connection.router, request);
        const bool keepAlive = co_await exchange(connection, attempt, request);
        m_history.attempts.push_back(std::move(attempt));
        if (!keepAlive)
            connection.stream.reset();
        co_await sleepFor(m_loop, keepAlive ? ThinkTime : PauseAfterFailure);
    }
    --m_active;
}

Callers::Awaitable<bool> Callers::connect(Connection &connection)
{
    connection.router = pick(m_routers.size());
    auto stream = std::make_unique<Stream>(m_loop);
    stream->expires_after(ConnectTimeout);
    boost::system::error_code error;
    co_await stream->async_connect(parseSocketAddress(m_routers[connection.router]),
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    connection.stream = std::move(stream);
    co_return true;
}

Callers::Awaitable<bool> Callers::exchange(Connection &connection, Attempt &attempt,
                                           const std::string &request)
{
    Stream &stream = *connection.stream;
    const bool disconnectsEarly = chance(EarlyDisconnectRatio);
    attempt.sentAt = steadyNow();
    stream.expires_after(disconnectsEarly
                                 ? EarlyDisconnectStep
                                           * static_cast<int>(1 + pick(MaxEarlyDisconnectSteps))
                                 : attempt.timeout + LateAnswerWait);
    boost::system::error_code error;
    co_await asio::async_write(stream, asio::buffer(request),
                               asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::string_body> parser;
    if (!error)
        co_await beast::http::async_read_header(stream, buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        attempt.headAt = steadyNow();
        attempt.status = parser.get().result_int();
        const auto signature = parser.get()["Server-Signature"];
        attempt.signature.assign(signature.data(), signature.size());
        attempt.announcesLeaving = parser.get()["Server-Leaving"] == "1";
        attempt.namesRateLimit = parser.get().count("Server-Limit") != 0;
        co_await beast::http::async_read(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        attempt.body = parser.get().body();
    }
    attempt.endedAt = steadyNow();
    attempt.isComplete = !error;
    attempt.callerDisconnected = disconnectsEarly && error == beast::error::timeout;
    co_return !error && parser.keep_alive();
}

Attempt Callers::buildRequest(std::size_t router, std::string &request)
{
    constexpr std::array Kinds{RequestKind::NonIdempotent, RequestKind::Idempotent,
                               RequestKind::Stream, RequestKind::ResumableStream};
    Attempt attempt;
    attempt.id = absl::StrCat(m_idPrefix, ++m_sent);
    attempt.router = router;
    attempt.kind = Kinds[pick(Kinds.size())];
    attempt.path = choosePath(attempt.kind);
    attempt.key = chooseKey();
    attempt.timeout = isStream(attempt.kind) ? StreamTimeout : PlainTimeout;
    const bool hasBody = attempt.kind != RequestKind::Idempotent;
    const std::string method = hasBody ? "POST" : "GET";
    const std::string body = hasBody ? std::string(1 + pick(3000), 'b') + attempt.id : "";
    attempt.expectedBody = absl::StrCat(attempt.id, " ", method, " ", attempt.path, " body ",
                                        absl::Hex(hash64(body)), " account ");
    request = absl::StrCat(method, " ", attempt.path, " HTTP/1.1\r\nHost: ", SoakHost,
                           "\r\nRequest-Id: ", attempt.id, "\r\nAuthorization: Bearer ",
                           attempt.key, "\r\nDeadline-Ms: ", attempt.timeout.count(), "\r\n");
    if (isStream(attempt.kind)) {
        attempt.requestedEvents = 1 + pick(MaxEvents);
        absl::StrAppend(&request, "Model: ", ModelName, "\r\nToken-Usage: 800,",
                        attempt.requestedEvents, "\r\nPrompt-Prefix: a1:200,b", pick(Sessions),
                        ":300,c", m_sent, ":300\r\n");
    }
    if (chance(ForgedHeadersRatio))
        request += ForgedHeaders;
    if (hasBody)
        absl::StrAppend(&request, "Content-Length: ", body.size(), "\r\n");
    absl::StrAppend(&request, "\r\n", body);
    return attempt;
}

std::string Callers::choosePath(RequestKind kind)
{
    const bool isExtra = kind == RequestKind::Idempotent && !m_choices.extraPrefixes.empty()
                         && chance(ExtraRouteRatio);
    const std::string prefix =
            isExtra ? m_choices.extraPrefixes[pick(m_choices.extraPrefixes.size())]
                    : prefixOf(kind);
    return absl::StrCat(prefix, "item-", pick(100));
}

std::string Callers::chooseKey()
{
    if (chance(WrongKeyRatio))
        return "key-wrong";
    if (chance(IsolatedKeyRatio) || m_choices.keys.empty())
        return IsolatedKey;
    return m_choices.keys[pick(m_choices.keys.size())];
}

std::size_t Callers::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

bool Callers::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace almondmill::soak
