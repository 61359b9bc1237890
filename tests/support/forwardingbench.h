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

/// The request path of a forwarding router without the platform's store: the test says what the
/// router knows, and talks to it over loopback.
class ForwardingBench
{
public:
    ForwardingBench();
    ~ForwardingBench();
    ForwardingBench(const ForwardingBench &) = delete;
    ForwardingBench &operator=(const ForwardingBench &) = delete;

    /// "http://IP:port" for callers.
    const std::string &url() const { return m_url; }

    /// Puts a configuration in force.
    void configure(RoutingConfiguration configuration);

    /// Registers an endpoint; engines serve the model "m" with that version of its weights.
    void addEndpoint(const std::string &id, const std::string &service, const std::string &address,
                     std::uint64_t weightsVersion = 0);

    /// Runs a task on the router's event loop and waits for it.
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

/// A request to the bench, with its own connection.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &moreHeaders = {}, const std::string &body = {});

/// Sends the text and returns all that comes until the connection ends.
std::string ask(const ForwardingBench &bench, const std::string &request);

/// An endpoint's answer with its signature, for the request `call`.
std::string signedAnswer(const std::string &call, const std::string &statusLine,
                         const std::string &body, const std::string &moreHeaders = {});

/// Value of a header in a message; empty when it isn't there.
std::string headerOf(const std::string &message, const std::string &name);

} // namespace almondmill::test
