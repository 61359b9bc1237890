#pragma once

#include "soakhistory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondmill::soak {

/// Callers that send requests of all kinds to the routers, each over a persistent connection.
/// Belongs to the event loop and must outlive its run.
class Callers
{
public:
    /// Routes and keys that callers choose from.
    struct Choices
    {
        std::vector<std::string> extraPrefixes; ///< Of added routes, also removed ones.
        std::vector<std::string> keys;          ///< Added API keys, also removed ones.
    };

    Callers(boost::asio::io_context &loop, std::vector<std::string> routers, SoakHistory &history,
            std::uint64_t seed);

    void setChoices(Choices choices) { m_choices = std::move(choices); }
    void start(std::size_t callers);

    /// Callers send no further requests and end after their present one.
    void stop() { m_stopping = true; }
    std::size_t active() const { return m_active; }

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;
    using Stream = boost::beast::tcp_stream;

    /// A caller's persistent connection.
    struct Connection
    {
        std::size_t router = 0;
        std::unique_ptr<Stream> stream; ///< Null while disconnected.
    };

    Awaitable<void> sendRequests();
    Awaitable<bool> connect(Connection &connection);
    Awaitable<bool> exchange(Connection &connection, Attempt &attempt, const std::string &request);
    Attempt buildRequest(std::size_t router, std::string &request);
    std::string choosePath(RequestKind kind);
    std::string chooseKey();

    std::size_t pick(std::size_t count);
    bool chance(double probability);

    boost::asio::io_context &m_loop;
    std::vector<std::string> m_routers;
    SoakHistory &m_history;
    std::mt19937_64 m_random;
    std::string m_idPrefix;
    std::uint64_t m_sent = 0;
    Choices m_choices;
    bool m_stopping = false;
    std::size_t m_active = 0;
};

} // namespace almondmill::soak
