#include "almondmill/directory/storefollower.h"

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

/// Longest time for a list; the store answers in milliseconds.
constexpr milliseconds ListTimeout{900};

/// Added to the wait of a call that hears changes.
constexpr milliseconds AnswerTimeout{700};

/// First pause after a failure; it doubles up to the longest, so that an outage meets few calls and
/// its end is met soon.
constexpr milliseconds FirstPause{100};
constexpr milliseconds LongestPause{800};
constexpr std::uint32_t MostDoublings = 3;

/// How often a router that doesn't read looks whether it is its turn.
constexpr milliseconds TurnInterval{200};

/// Between half of `pause` and the whole, so that routers don't call at the same moment.
milliseconds jittered(milliseconds pause)
{
    static thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<std::int64_t> part(pause.count() / 2, pause.count());
    return milliseconds(part(random));
}

} // namespace

StoreFollower::StoreFollower(asio::io_context &loop, AsyncStore &store, Options options,
                             Handlers handlers)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_idle(std::make_shared<asio::steady_timer>(loop))
{}

asio::awaitable<void> StoreFollower::run(IsReader isReader)
{
    for (;;) {
        bool reached = true;
        if (m_refreshes)
            reached = co_await list();
        else if (!isReader || isReader())
            reached = co_await hearChanges();
        else
            co_await idle();
        if (m_failures != 0) {
            const auto doublings = std::min(m_failures - 1, MostDoublings);
            co_await sleepFor(m_loop,
                              jittered(std::min(FirstPause * (1U << doublings), LongestPause)));
        } else if (reached && m_options.pause.count() > 0) {
            co_await sleepFor(m_loop, m_options.pause);
        }
    }
}

void StoreFollower::refresh()
{
    m_refreshes = true;
    m_idle->cancel();
}

void StoreFollower::advance(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
}

asio::awaitable<void> StoreFollower::idle()
{
    m_idle->expires_after(TurnInterval);
    boost::system::error_code ignored; // Cancelled for a refresh.
    co_await m_idle->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> StoreFollower::list()
{
    const auto result =
            co_await m_store.list(m_options.kind, std::chrono::steady_clock::now() + ListTimeout);
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        noteLost(missing->reason);
        co_return false;
    }
    noteReached();
    const auto &objects = std::get<ObjectList>(result);
    m_refreshes = false;
    m_revision = std::max(m_revision, objects.revision);
    m_handlers.listed(objects);
    co_return true;
}

asio::awaitable<bool> StoreFollower::hearChanges()
{
    const auto deadline = std::chrono::steady_clock::now() + m_options.wait + AnswerTimeout;
    const auto result =
            co_await m_store.events(m_options.kind, m_revision, m_options.wait, deadline);
    if (std::holds_alternative<HistoryGone>(result)) {
        EventLine("store.history_gone").add("kind", m_options.label);
        m_refreshes = true;
        co_return false;
    }
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        noteLost(missing->reason);
        m_refreshes = true; // Changes may have been missed with the answer.
        co_return false;
    }
    noteReached();
    const auto &events = std::get<ObjectEvents>(result);
    m_revision = std::max(m_revision, events.revision);
    m_handlers.changed(events);
    co_return true;
}

void StoreFollower::noteReached()
{
    if (m_failures == 0)
        return;
    EventLine("store.regained").add("kind", m_options.label).add("failures", m_failures);
    m_failures = 0;
    if (m_handlers.regained)
        m_handlers.regained();
}

void StoreFollower::noteLost(const std::string &reason)
{
    if (m_failures == 0)
        EventLine("store.lost").add("kind", m_options.label).add("reason", reason);
    ++m_failures;
}

} // namespace almondmill
