#pragma once

#include "almondmill/forward/callerlistener.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/requestforwarder.h"
#include "almondmill/forward/sendplanner.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace almondmill::test {

/// The request path of a forwarding router without the platform's store. Tests set the
/// configuration and the endpoints directly and send requests over loopback.
class ForwardingHarness
{
public:
    ForwardingHarness();
    ~ForwardingHarness();
    ForwardingHarness(const ForwardingHarness &) = delete;
    ForwardingHarness &operator=(const ForwardingHarness &) = delete;

    /// Base URL for callers, "http://IP:port".
    const std::string &url() const { return m_url; }

    /// Puts a configuration in force.
    void configure(RoutingConfiguration configuration);

    /// Registers an endpoint. With a non-zero `weightsVersion` it is an engine that serves the
    /// model "m" with that version of its weights.
    void addEndpoint(const std::string &id, const std::string &service, const std::string &address,
                     std::uint64_t weightsVersion = 0);

    /// Begins a planned stop: answers close their connections from now on. Time limits are as if it
    /// had begun `ago` before, of the whole grace period of a router.
    void beginDraining(std::chrono::milliseconds ago = std::chrono::milliseconds(0));

    /// Closes the listening socket and the idle connections, as the end of a planned stop does.
    /// Before that, the event loop is kept busy while `meanwhile` runs.
    void stopListening(const std::function<void()> &meanwhile = [] {});

    /// Runs a task on the router's event loop and waits until it is done.
    void onLoop(const std::function<void(ForwardingContext &)> &task);

private:
    std::string m_url;
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    ForwardingContext m_context;
    SendPlanner m_planner;
    RequestForwarder m_forwarder;
    CallerListener m_listener;
    std::thread m_thread;
};

/// A configuration with one route of each kind at the host "h": "/once/", "/any/", "/stream/" and
/// "/resume/", each to a service of that name, and the accounts "open" (key "k1") and "walled"
/// (key "k2", isolated).
RoutingConfiguration oneRouteOfEachKind();

/// Text of a request that asks to close its connection after the answer.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &moreHeaders = {}, const std::string &body = {});

/// Sends the text on a new connection and returns all bytes until the connection is closed.
std::string sendRequest(const ForwardingHarness &harness, const std::string &request);

/// An endpoint's signed answer to the request `call`.
std::string signedAnswer(const std::string &call, const std::string &statusLine,
                         const std::string &body, const std::string &moreHeaders = {});

/// Value of a header field of a message; empty when the field is missing.
std::string headerOf(const std::string &message, const std::string &name);

} // namespace almondmill::test
