#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace almondmill::standin {

/// Passes TCP connections on to another address and disturbs them on request. Belongs to the event
/// loop.
class FaultProxy
{
public:
    /// How bytes pass in one direction.
    struct Direction
    {
        bool silent = false;                ///< Held back until this is false again.
        std::chrono::milliseconds delay{0}; ///< Added to each piece.
    };

    /// Listens on "IP:port" and connects to `target`.
    FaultProxy(boost::asio::io_context &loop, const std::string &listen, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;

    void setToTarget(Direction direction);
    void setToCaller(Direction direction);

    /// Passes everything again.
    void heal();

    /// Resets all connections; new ones are taken.
    void resetAll();

private:
    struct State;
    struct Link;

    static boost::asio::awaitable<void> accept(std::shared_ptr<State> state);
    static boost::asio::awaitable<void> connect(std::shared_ptr<State> state,
                                                std::shared_ptr<Link> link);
    static boost::asio::awaitable<void> pump(std::shared_ptr<State> state,
                                             std::shared_ptr<Link> link, bool toTarget);

    std::shared_ptr<State> m_state;
};

} // namespace almondmill::standin
