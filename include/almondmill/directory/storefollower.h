#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/store/asyncstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace almondmill {

/// Follows the objects of one kind: lists them, then hears their changes, and lists them anew when
/// the store can't tell the changes any more.
class StoreFollower
{
public:
    struct Options
    {
        ObjectKind kind = ObjectKind::Registrations;
        std::string label;                     ///< For the log.
        std::chrono::milliseconds wait{10000}; ///< Longest time that one call waits for changes.
        std::chrono::milliseconds pause{0};    ///< Between two calls, so that changes gather.
    };

    /// Whether this router reads the store itself at the moment; always where it is not set.
    using IsReader = std::function<bool()>;

    struct Handlers
    {
        std::function<void(const ObjectList &)> listed;
        std::function<void(const ObjectEvents &)> changed;
        std::function<void()> regained; ///< The store answers again after failures; may be empty.
    };

    StoreFollower(boost::asio::io_context &loop, AsyncStore &store, Options options,
                  Handlers handlers);

    /// Follows until the event loop ends, whenever it is this router's turn.
    boost::asio::awaitable<void> run(IsReader isReader);

    /// Lists the objects as soon as possible, whoever's turn it is.
    void refresh();

    /// Says that all changes up to `revision` are known from elsewhere.
    void advance(std::uint64_t revision);

private:
    boost::asio::awaitable<bool> list();
    boost::asio::awaitable<bool> hearChanges();
    boost::asio::awaitable<void> idle();
    void noteReached();
    void noteLost(const std::string &reason);

    boost::asio::io_context &m_loop;
    AsyncStore &m_store;
    Options m_options;
    Handlers m_handlers;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0; ///< In a row.
    bool m_refreshes = true;
    std::shared_ptr<boost::asio::steady_timer> m_idle; ///< Cancelled by `refresh`.
};

} // namespace almondmill
