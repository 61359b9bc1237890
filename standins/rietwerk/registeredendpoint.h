#pragma once

#include "../httplistener.h"
#include "endpointobserver.h"
#include "endpointplan.h"

#include "almondmill/store/asyncstore.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace almondmill {
class PlatformAdapter;
}

namespace almondmill::standin::rietwerk {

/// One incarnation of an endpoint of the platform: it registers itself, serves requests and, as an
/// engine, carries out orders. Used only from the event loop's thread; must outlive the loop's
/// `run()`.
class RegisteredEndpoint
{
public:
    /// `store` is the "IP:port" of the platform's store.
    RegisteredEndpoint(boost::asio::io_context &loop, EndpointPlan plan, const std::string &store,
                       EndpointObserver &observer);
    ~RegisteredEndpoint();
    RegisteredEndpoint(const RegisteredEndpoint &) = delete;
    RegisteredEndpoint &operator=(const RegisteredEndpoint &) = delete;

    const EndpointPlan &plan() const { return m_plan; }
    std::string address() const { return m_listener.address(); }
    bool isAlive() const { return m_alive; }
    std::uint64_t weightsVersion() const { return m_weightsVersion; }

    void setFaults(const EndpointFaults &faults) { m_faults = faults; }

    /// Says in its answers that it leaves and continues to serve; its registration doesn't change.
    void announceLeaving() { m_leaving = true; }

    /// Names a limit of requests per second in its answers, or none any more; serves as before.
    void setRateLimit(std::optional<double> perSecond) { m_rateLimit = perSecond; }

    bool hasRateLimit() const { return m_rateLimit.has_value(); }

    /// Registers as draining, says so in its answers and continues to serve.
    void drain();

    /// Stops writing its registration and continues to serve.
    void stopHeartbeats() { m_sendsHeartbeats = false; }

    /// Stops at once without updating its registration.
    void crash();

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    Awaitable<bool> handle(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> run(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> sendCompleteResponse(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> sendStream(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> handleOrder(const HttpRequest &request, HttpConnection &connection);
    Awaitable<void> load(std::uint64_t version);
    Awaitable<void> keepRegistered();
    Awaitable<void> writeEntry();

    /// How long the endpoint wants no requests; starts a pause at random.
    std::optional<std::chrono::milliseconds> pause(std::chrono::steady_clock::time_point now);

    /// Header lines of what the endpoint states about itself in each answer.
    std::string statementLines() const;
    void addStatements(HttpAnswer &answer) const;

    /// Answer without a body that carries the request's and this endpoint's ids.
    HttpAnswer emptyAnswer(unsigned status, const HttpRequest &request) const;
    HttpAnswer report() const;
    std::string entry();

    /// Returns true with the given probability.
    bool occursWithProbability(double probability);

    boost::asio::io_context &m_loop;
    EndpointPlan m_plan;
    EndpointObserver &m_observer;
    std::unique_ptr<PlatformAdapter> m_adapter;
    std::unique_ptr<AsyncStore> m_store;
    boost::asio::steady_timer m_heartbeatTimer;
    std::mt19937_64 m_random;
    EndpointFaults m_faults;
    std::chrono::milliseconds m_startedAt;
    std::uint64_t m_weightsVersion;
    std::uint64_t m_acceptedOrders = 0;
    std::uint64_t m_heartbeatSequence = 0;
    std::uint64_t m_entryVersion = 0; ///< Zero while the endpoint is not registered.
    std::uint32_t m_running = 0;
    bool m_loading = false;
    bool m_draining = false;
    bool m_leaving = false;
    std::optional<double> m_rateLimit; ///< Requests per second of all routers.
    std::chrono::steady_clock::time_point m_pausedUntil;
    bool m_sendsHeartbeats = true;
    bool m_alive = true;
    HttpListener m_listener;
};

} // namespace almondmill::standin::rietwerk
