#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace almondmill::standin {

/// TCP proxy that injects faults: it forwards connections to another address and delays, holds back
/// or resets them on request. Used only from the event loop's thread.
class FaultProxy
{
public:
    /// Faults that apply to the bytes of one direction.
    struct Direction
    {
        bool silent = false;                ///< Whether bytes are held back.
        std::chrono::milliseconds delay{0}; ///< Added before each read buffer is forwarded.
    };

    /// Listens on "IP:port" and connects to `target`.
    FaultProxy(boost::asio::io_context &loop, const std::string &listen, const std::string &target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::string address() const;

    void setToTarget(Direction direction);
    void setToCaller(Direction direction);

    /// Removes the faults of both directions.
    void heal();

    /// Resets all open connections; new connections are still accepted.
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
