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

/// Callers that send requests of all kinds to the routers, each over a connection that it keeps as
/// long as it can. Belongs to the event loop and must outlive its run.
class Callers
{
public:
    /// What a caller may ask for at the moment.
    struct Choices
    {
        std::vector<std::string> extraPrefixes; ///< Routes that are, were or will be there.
        std::vector<std::string> keys;          ///< Keys that are, were or will be valid.
    };

    Callers(boost::asio::io_context &loop, std::vector<std::string> routers, SoakHistory &history,
            std::uint64_t seed);

    void setChoices(Choices choices) { m_choices = std::move(choices); }
    void start(std::size_t callers);

    /// No new requests from now on.
    void stop() { m_stopping = true; }
    std::size_t active() const { return m_active; }

private:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;
    using Stream = boost::beast::tcp_stream;

    /// A caller's kept connection.
    struct Connection
    {
        std::size_t router = 0;
        std::unique_ptr<Stream> stream; ///< Null while there is none.
    };

    Awaitable<void> call();
    Awaitable<bool> connect(Connection &connection);
    Awaitable<bool> exchange(Connection &connection, Attempt &attempt, const std::string &request);
    Attempt compose(std::size_t router, std::string &request);
    std::string pathFor(RequestKind kind);
    std::string keyFor();

    std::size_t pick(std::size_t count);
    bool chance(double share);

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
