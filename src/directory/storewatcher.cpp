#include "almondmill/directory/storewatcher.h"

#include "almondmill/directory/storeoutage.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Timeout of a list call; the store answers within milliseconds.
constexpr milliseconds ListTimeout{900};

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

} // namespace

StoreWatcher::StoreWatcher(asio::io_context &loop, AsyncStore &store, Options options,
                           Handlers handlers, std::shared_ptr<StoreOutage> outage)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_outage(outage ? std::move(outage) : std::make_shared<StoreOutage>())
    , m_listFreshness(m_options.firstList)
    , m_idle(std::make_shared<asio::steady_timer>(loop))
{}

asio::awaitable<void> StoreWatcher::run(IsReader isReader)
{
    for (;;) {
        bool reached = true;
        if (m_listPending)
            reached = co_await list();
        else if (!isReader || isReader())
            reached = co_await waitForChanges();
        else
            co_await idle();
        if (m_failures != 0) {
            co_await backOff();
        } else if (reached && m_options.pause.count() > 0) {
            co_await sleepFor(m_loop, m_options.pause);
        }
    }
}

asio::awaitable<void> StoreWatcher::backOff()
{
    const auto doublings = std::min(m_failures - 1, MaxDoublings);
    co_await sleepFor(m_loop, withJitter(std::min(InitialBackoff * (1U << doublings), MaxBackoff)));
    for (;;) {
        if (m_outage->mayProbe(*this))
            co_return;
        co_await sleepFor(m_loop, OutageCheckInterval);
    }
}

void StoreWatcher::refresh()
{
    m_listPending = true;
    m_listFreshness = Freshness::Current;
    m_idle->cancel();
}

void StoreWatcher::refreshUpTo(std::uint64_t revision)
{
    m_listUpTo = std::max(m_listUpTo, revision);
    if (m_listPending)
        return;
    m_listPending = true;
    m_listFreshness = Freshness::MayBeStale;
    m_idle->cancel();
}

void StoreWatcher::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

asio::awaitable<void> StoreWatcher::idle()
{
    m_idle->expires_after(ReaderCheckInterval);
    boost::system::error_code ignored; // `refresh` cancels the timer.
    co_await m_idle->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> StoreWatcher::list()
{
    const Freshness freshness = m_listFreshness;
    const auto result = co_await m_store.list(m_options.kind, freshness,
                                              std::chrono::steady_clock::now() + ListTimeout);
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        recordFailure(missing->reason);
        m_listFreshness = Freshness::Current;
        co_return false;
    }
    recordSuccess();
    const auto &objects = std::get<ObjectList>(result);
    const bool isTooOld = freshness == Freshness::MayBeStale
                          && objects.revision < std::max(m_listUpTo, m_revision);
    if (isTooOld || m_listFreshness != freshness) {
        m_listFreshness = Freshness::Current;
        co_return true;
    }
    applyList(objects, freshness);
    co_return true;
}

void StoreWatcher::applyList(const ObjectList &objects, Freshness freshness)
{
    m_listPending = false;
    m_listFreshness = Freshness::Current;
    m_revision = std::max(m_revision, objects.revision);
    m_handlers.listed(objects, freshness);
}

asio::awaitable<bool> StoreWatcher::waitForChanges()
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.wait + AnswerTimeout;
    const auto result =
            co_await m_store.events(m_options.kind, m_revision, m_options.wait, deadline);
    if (std::holds_alternative<HistoryGone>(result)) {
        EventLine("store.history_gone").add("kind", m_options.label);
        m_listPending = true;
        co_return false;
    }
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        recordFailure(missing->reason);
        m_listPending = true; // The lost answer may have contained changes.
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
    m_outage->end();
    if (m_failures == 0)
        return;
    EventLine("store.regained").add("kind", m_options.label).add("failures", m_failures);
    m_failures = 0;
    if (m_handlers.recovered)
        m_handlers.recovered();
}

void StoreWatcher::recordFailure(const std::string &reason)
{
    if (m_failures == 0)
        EventLine("store.lost").add("kind", m_options.label).add("reason", reason);
    ++m_failures;
}

} // namespace almondmill
