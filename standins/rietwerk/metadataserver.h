#pragma once

#include "../httplistener.h"
#include "metadatastore.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondmill::standin::rietwerk {

/// Stand-in for the platform's metadata store over HTTP, with fault injection. Used only from the
/// event loop's thread.
class MetadataServer
{
public:
    /// Fault that applies to all calls.
    enum class Fault {
        None,
        Busy,       ///< Answered with status 503; the call has no effect.
        Silent,     ///< No answer; the call has no effect.
        Slow,       ///< Executed and answered after a delay.
        LoseAnswer, ///< Executed; changes end with a closed connection and no answer.
    };

    MetadataServer(boost::asio::io_context &loop, const std::string &address);
    MetadataServer(const MetadataServer &) = delete;
    MetadataServer &operator=(const MetadataServer &) = delete;

    std::string address() const { return m_listener.address(); }
    MetadataStore &store() { return m_store; }

    void setFault(Fault fault, std::chrono::milliseconds delay = {});

    /// Sets the number of objects in a page of a list.
    void setPageSize(std::size_t objects) { m_pageSize = objects; }

    /// Number of calls received, whatever their outcome.
    std::uint64_t calls() const { return m_calls; }

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;
    using Time = std::chrono::steady_clock::time_point;

    /// Parsed target of a call: kind, name and query fields.
    struct Target;

    Awaitable<bool> handle(const HttpRequest &request, HttpConnection &connection);
    Awaitable<HttpAnswer> answerTo(const HttpRequest &request, const Target &target);
    HttpAnswer list(const Target &target) const;
    Awaitable<HttpAnswer> watch(const Target &target);
    HttpAnswer change(const HttpRequest &request, const Target &target);
    Awaitable<void> waitForChange(Time until);
    Awaitable<void> expireEndpoints();

    boost::asio::io_context &m_loop;
    MetadataStore m_store;
    Fault m_fault = Fault::None;
    std::chrono::milliseconds m_delay{0};
    std::size_t m_pageSize = 500;
    std::uint64_t m_calls = 0;
    std::set<boost::asio::steady_timer *> m_watchTimers;
    HttpListener m_listener;
};

} // namespace almondmill::standin::rietwerk
