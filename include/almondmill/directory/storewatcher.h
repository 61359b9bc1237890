#pragma once

#include "almondmill/directory/listrequests.h"
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

class StoreOutage;

/// Watches the store's objects of one kind: lists them, then waits for changes with long polling.
/// Lists them again when a call fails or the store no longer has the history of changes.
class StoreWatcher
{
public:
    struct Options
    {
        ObjectKind kind = ObjectKind::Registrations;
        std::string label;                     ///< Name of the kind in log events.
        std::chrono::milliseconds wait{10000}; ///< Long-polling timeout of one call.
        std::chrono::milliseconds pause{0}; ///< Delay between calls, so that changes are batched.
        /// Whether the first list may be stale; what it lacks must come from another source.
        Freshness firstList = Freshness::Current;
    };

    /// Whether this router is an active reader of the store. An empty function means always.
    using IsReader = std::function<bool()>;

    struct Handlers
    {
        /// Receives a list and the time at which it was requested from the store.
        std::function<void(const ObjectList &, SteadyTime sentAt)> listed;
        std::function<void(const ObjectEvents &)> changed;
        /// Receives changes that were missing, see `refreshUpTo`. When it is empty, the objects are
        /// listed instead.
        std::function<void(const ObjectEvents &)> caughtUp = nullptr;
    };

    /// `outage` is shared by the watchers of a router; without it, this watcher probes by itself.
    StoreWatcher(boost::asio::io_context &loop, AsyncStore &store, Options options,
                 Handlers handlers, std::shared_ptr<StoreOutage> outage = nullptr);

    /// Watches until the event loop ends, whenever `isReader` returns true.
    boost::asio::awaitable<void> run(IsReader isReader);

    /// Lists the objects at once, even when this router is not a reader or a call for changes is
    /// waiting, whose answer may have been lost.
    void refresh();

    /// Reads the changes up to `revision` that are missing here. When the store no longer holds
    /// them, the objects are listed; a stale read is tried first.
    void refreshUpTo(std::uint64_t revision);

    /// Lists again what is already known, when changes in it were not applied then. A call for
    /// changes that is waiting can't return them; a list is sent beside it. A stale read is tried
    /// first.
    void refreshKnown();

    /// Skips changes up to `revision`, which are known from another source.
    void advance(std::uint64_t revision);

    /// Reads the changes that are missing here, also when this router is not a reader. Completes
    /// within a bounded time, with whether the objects known here contain all that the store had
    /// acknowledged before the call. Calls that wait at the same time share one read.
    boost::asio::awaitable<bool> confirm();

private:
    struct Confirmation;

    boost::asio::awaitable<void> backOff();
    boost::asio::awaitable<bool> list();
    std::chrono::milliseconds listTimeout() const;
    bool lacksChanges() const { return m_missing > m_revision; }
    boost::asio::awaitable<bool> catchUp();
    void startListDuringWatch();
    boost::asio::awaitable<void> listDuringWatch();
    boost::asio::awaitable<bool> waitForChanges();
    boost::asio::awaitable<void> idle();
    boost::asio::awaitable<void> answerConfirmations();
    boost::asio::awaitable<bool> readMissing();
    void recordSuccess();
    void recordFailure(const std::string &reason);

    boost::asio::io_context &m_loop;
    AsyncStore &m_store;
    Options m_options;
    Handlers m_handlers;
    std::shared_ptr<StoreOutage> m_outage;
    std::uint64_t m_revision = 0;
    std::uint64_t m_missing = 0;       ///< Revision up to which changes are to be read.
    std::uint32_t m_failedLists = 0;   ///< Until the first answer.
    std::uint32_t m_failures = 0;      ///< Consecutive failures.
    std::uint32_t m_goneHistories = 0; ///< Consecutive calls for changes that found no history.
    ListRequests m_lists;
    bool m_isWatching = false;                         ///< A call for changes is waiting.
    bool m_isListingDuringWatch = false;               ///< A list was requested meanwhile.
    std::shared_ptr<boost::asio::steady_timer> m_idle; ///< Cancelled by `refresh`.
    std::shared_ptr<Confirmation> m_nextConfirmation;  ///< Of calls whose read is not sent yet.
    bool m_isConfirming = false;
};

} // namespace almondmill
