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

/// The platform's metadata store over HTTP, with switches for faults. Belongs to the event loop.
class MetadataServer
{
public:
    /// What goes wrong with calls.
    enum class Fault {
        None,
        Busy,       ///< Status 503; nothing is done.
        Silent,     ///< No answer; nothing is done.
        Slow,       ///< Done and answered after a delay.
        LoseAnswer, ///< Done, and the connection ends without an answer.
    };

    MetadataServer(boost::asio::io_context &loop, const std::string &address);
    MetadataServer(const MetadataServer &) = delete;
    MetadataServer &operator=(const MetadataServer &) = delete;

    std::string address() const { return m_listener.address(); }
    MetadataStore &store() { return m_store; }

    void setFault(Fault fault, std::chrono::milliseconds delay = {});

    /// Calls that came in, whatever became of them.
    std::uint64_t calls() const { return m_calls; }

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;
    using Time = std::chrono::steady_clock::time_point;

    /// What a call names: kind, name and the fields of its query.
    struct Target;

    Awaitable<bool> handle(const HttpRequest &request, HttpConnection &connection);
    Awaitable<HttpAnswer> answerTo(const HttpRequest &request, const Target &target);
    Awaitable<HttpAnswer> watch(const Target &target);
    HttpAnswer change(const HttpRequest &request, const Target &target);
    Awaitable<void> waitForChange(Time until);
    Awaitable<void> expireEndpoints();

    boost::asio::io_context &m_loop;
    MetadataStore m_store;
    Fault m_fault = Fault::None;
    std::chrono::milliseconds m_delay{0};
    std::uint64_t m_calls = 0;
    std::set<boost::asio::steady_timer *> m_waiting;
    HttpListener m_listener;
};

} // namespace almondmill::standin::rietwerk
