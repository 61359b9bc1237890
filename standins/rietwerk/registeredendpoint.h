#pragma once

#include "../httplistener.h"
#include "endpointobserver.h"
#include "endpointplan.h"

#include "almondmill/store/asyncstore.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <string>

namespace almondmill {
class PlatformAdapter;
}

namespace almondmill::standin::rietwerk {

/// One lifetime of an endpoint of the platform: it registers itself, serves, and as an engine
/// carries out orders. Belongs to the event loop and must outlive its run.
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

    /// Reports that it is about to leave; it goes on serving.
    void drain();

    /// Writes its entry no more; it goes on serving.
    void stopHeartbeats() { m_beating = false; }

    /// Ends at once and says nothing.
    void crash();

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    Awaitable<bool> handle(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> run(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> sendWhole(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> sendStream(const HttpRequest &request, HttpConnection &connection);
    Awaitable<bool> takeOrder(const HttpRequest &request, HttpConnection &connection);
    Awaitable<void> load(std::uint64_t version);
    Awaitable<void> keepRegistered();
    Awaitable<void> writeEntry();

    HttpAnswer refusal(unsigned status, const HttpRequest &request) const;
    HttpAnswer report() const;
    std::string entry();
    bool happens(double share);

    boost::asio::io_context &m_loop;
    EndpointPlan m_plan;
    EndpointObserver &m_observer;
    std::unique_ptr<PlatformAdapter> m_adapter;
    std::unique_ptr<AsyncStore> m_store;
    boost::asio::steady_timer m_nextBeat;
    std::mt19937_64 m_random;
    EndpointFaults m_faults;
    std::chrono::milliseconds m_startedAt;
    std::uint64_t m_weightsVersion;
    std::uint64_t m_orders = 0;
    std::uint64_t m_beats = 0;
    std::uint64_t m_entryVersion = 0; ///< Zero while there is no entry.
    std::uint32_t m_running = 0;
    bool m_loading = false;
    bool m_draining = false;
    bool m_beating = true;
    bool m_alive = true;
    HttpListener m_listener;
};

} // namespace almondmill::standin::rietwerk
