#include "almondmill/directory/storewatcher.h"

#include "almondmill/directory/storeoutage.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Timeout of a list call; the store answers within milliseconds.
constexpr milliseconds ListTimeout{900};

/// A router without a first list can't serve. Each failure adds a timeout to the next one, up to
/// this many, so that a store which is slow because all routers list at once is not asked for the
/// same lists again and again.
constexpr std::uint32_t MaxFirstListTimeouts = 4;

/// Wait of a call for changes that are known to exist.
constexpr milliseconds CatchUpWait{1};

/// Timeout of a read for a confirmation; a caller waits for it.
constexpr milliseconds ConfirmTimeout{300};

/// Added to the long-polling timeout of a call for changes, for its answer to arrive.
constexpr milliseconds AnswerTimeout{700};

/// Exponential backoff after failures. The upper limit keeps the load on a failing store low and
/// still detects its recovery within a second.
constexpr milliseconds InitialBackoff{100};
constexpr milliseconds MaxBackoff{800};
constexpr std::uint32_t MaxDoublings = 3;

/// Interval at which a router that is not a reader checks whether it has become one.
constexpr milliseconds ReaderCheckInterval{200};

/// Interval at which a watcher checks whether another one's probe was answered.
constexpr milliseconds OutageCheckInterval{50};

/// A random duration between half of `delay` and `delay`, so that routers do not call at the same
/// time.
milliseconds withJitter(milliseconds delay)
{
    static thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return milliseconds(distribution(random));
}

/// Time before the next call after so many vain ones.
milliseconds backoffAfter(std::uint32_t calls)
{
    const auto doublings = std::min(calls - 1, MaxDoublings);
    return withJitter(std::min(InitialBackoff * (1U << doublings), MaxBackoff));
}

} // namespace

/// A read that several calls of `confirm` wait for.
struct StoreWatcher::Confirmation
{
    explicit Confirmation(asio::io_context &loop)
        : done(loop, 2 * ConfirmTimeout)
    {}

    asio::steady_timer done; ///< Cancelled when the read has ended.
    bool hasEnded = false;
    bool isConfirmed = false;
};

StoreWatcher::StoreWatcher(asio::io_context &loop, AsyncStore &store, Options options,
                           Handlers handlers, std::shared_ptr<StoreOutage> outage)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_outage(outage ? std::move(outage) : std::make_shared<StoreOutage>())
    , m_lists(m_options.firstList)
    , m_idle(std::make_shared<asio::steady_timer>(loop))
{}

asio::awaitable<void> StoreWatcher::run(IsReader isReader)
{
    for (;;) {
        bool reached = true;
        if (m_lists.isPending())
            reached = co_await list();
        else if (lacksChanges())
            reached = co_await catchUp();
        else if (!isReader || isReader())
            reached = co_await waitForChanges();
        else
            co_await idle();
        if (m_failures != 0) {
            co_await backOff();
        } else if (m_goneHistories > 1) {
            // The list that followed the first one gave no revision to go on from.
            co_await sleepFor(m_loop, backoffAfter(m_goneHistories));
        } else if (reached && m_options.pause.count() > 0) {
            co_await sleepFor(m_loop, m_options.pause);
        }
    }
}

asio::awaitable<void> StoreWatcher::backOff()
{
    co_await sleepFor(m_loop, backoffAfter(m_failures));
    for (;;) {
        if (m_outage->mayProbe(*this))
            co_return;
        co_await sleepFor(m_loop, OutageCheckInterval);
    }
}

void StoreWatcher::refresh()
{
    m_lists.request();
    m_idle->cancel();
    startListDuringWatch();
}

void StoreWatcher::startListDuringWatch()
{
    if (m_isWatching && !std::exchange(m_isListingDuringWatch, true))
        asio::co_spawn(m_loop, listDuringWatch(), asio::detached);
}

asio::awaitable<void> StoreWatcher::listDuringWatch()
{
    while (m_isWatching && m_lists.isPending()) {
        const bool isAnswered = co_await list();
        if (!isAnswered)
            co_await sleepFor(m_loop, withJitter(InitialBackoff));
    }
    m_isListingDuringWatch = false;
}

void StoreWatcher::refreshUpTo(std::uint64_t revision)
{
    if (m_handlers.caughtUp)
        m_missing = std::max(m_missing, revision);
    else
        m_lists.requestUpTo(revision);
    m_idle->cancel();
}

void StoreWatcher::refreshKnown()
{
    m_lists.requestUpTo(m_revision);
    m_idle->cancel();
    startListDuringWatch();
}

void StoreWatcher::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

asio::awaitable<bool> StoreWatcher::confirm()
{
    if (m_revision == 0 || !m_outage->isAnswering())
        co_return false;
    if (!m_nextConfirmation)
        m_nextConfirmation = std::make_shared<Confirmation>(m_loop);
    const auto joined = m_nextConfirmation;
    if (!std::exchange(m_isConfirming, true))
        asio::co_spawn(m_loop, answerConfirmations(), asio::detached);
    if (!joined->hasEnded) {
        boost::system::error_code ignored; // The end of the read cancels the timer.
        co_await joined->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return joined->isConfirmed;
}

asio::awaitable<void> StoreWatcher::answerConfirmations()
{
    // A call that comes while a read is on its way needs another one.
    while (const auto current = std::exchange(m_nextConfirmation, nullptr)) {
        current->isConfirmed = co_await readMissing();
        current->hasEnded = true;
        current->done.cancel();
    }
    m_isConfirming = false;
}

asio::awaitable<bool> StoreWatcher::readMissing()
{
    const auto deadline = std::chrono::steady_clock::now() + ConfirmTimeout;
    const auto result = co_await m_store.events(m_options.kind, m_revision, CatchUpWait, deadline);
    if (std::holds_alternative<HistoryGone>(result)) {
        m_lists.request();
        co_return co_await list();
    }
    const auto *events = std::get_if<ObjectEvents>(&result);
    if (!events)
        co_return false;
    m_revision = std::max(m_revision, events->revision);
    (m_handlers.caughtUp ? m_handlers.caughtUp : m_handlers.changed)(*events);
    co_return true;
}

asio::awaitable<void> StoreWatcher::idle()
{
    m_idle->expires_after(ReaderCheckInterval);
    boost::system::error_code ignored; // `refresh` cancels the timer.
    co_await m_idle->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> StoreWatcher::list()
{
    const ListRequests::Read read = m_lists.begin();
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    const auto result =
            co_await m_store.list(m_options.kind, read.freshness, sentAt + listTimeout());
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        recordFailure(missing->reason);
        m_lists.fail();
        ++m_failedLists;
        co_return false;
    }
    recordSuccess();
    const auto &objects = std::get<ObjectList>(result);
    if (!m_lists.complete(read, objects.revision, m_revision))
        co_return true;
    m_revision = std::max(m_revision, objects.revision);
    m_handlers.listed(objects, sentAt);
    co_return true;
}

milliseconds StoreWatcher::listTimeout() const
{
    const bool isFirst = m_revision == 0;
    return ListTimeout * (isFirst ? std::min(m_failedLists + 1, MaxFirstListTimeouts) : 1);
}

asio::awaitable<bool> StoreWatcher::catchUp()
{
    const std::uint64_t missing = m_missing;
    const auto deadline = std::chrono::steady_clock::now() + CatchUpWait + AnswerTimeout;
    const auto result = co_await m_store.events(m_options.kind, m_revision, CatchUpWait, deadline);
    const auto *events = std::get_if<ObjectEvents>(&result);
    if (events && events->revision >= missing) {
        recordSuccess();
        m_revision = std::max(m_revision, events->revision);
        m_handlers.caughtUp(*events);
        co_return true;
    }
    // The history is gone, the call failed, or the store has no such revision.
    if (m_missing == missing)
        m_missing = 0;
    m_lists.requestUpTo(missing);
    co_return false;
}

asio::awaitable<bool> StoreWatcher::waitForChanges()
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.wait + AnswerTimeout;
    m_isWatching = true;
    const auto result =
            co_await m_store.events(m_options.kind, m_revision, m_options.wait, deadline);
    m_isWatching = false;
    if (std::holds_alternative<HistoryGone>(result)) {
        EventLine("store.history_gone").add("kind", m_options.label);
        ++m_goneHistories;
        m_lists.request();
        co_return false;
    }
    m_goneHistories = 0;
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        recordFailure(missing->reason);
        m_lists.request(); // The lost answer may have contained changes.
        co_return false;
    }
    recordSuccess();
    const auto &events = std::get<ObjectEvents>(result);
    m_revision = std::max(m_revision, events.revision);
    m_handlers.changed(events);
    co_return true;
}

void StoreWatcher::recordSuccess()
{
    m_outage->recordAnswer(std::chrono::steady_clock::now());
    if (m_failures == 0)
        return;
    EventLine("store.regained").add("kind", m_options.label).add("failures", m_failures);
    m_failures = 0;
}

void StoreWatcher::recordFailure(const std::string &reason)
{
    m_outage->recordFailure();
    if (m_failures == 0)
        EventLine("store.lost").add("kind", m_options.label).add("reason", reason);
    ++m_failures;
}

} // namespace almondmill
