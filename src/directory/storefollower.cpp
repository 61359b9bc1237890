#include "almondmill/directory/storefollower.h"

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
{}

asio::awaitable<void> StoreFollower::run()
{
    for (;;) {
        if (co_await list()) {
            while (co_await hearChanges()) {
                if (m_options.pause.count() > 0)
                    co_await sleep(m_options.pause);
            }
        }
        if (m_failures != 0) {
            const auto doublings = std::min(m_failures - 1, MostDoublings);
            co_await sleep(jittered(std::min(FirstPause * (1U << doublings), LongestPause)));
        }
    }
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
    m_revision = objects.revision;
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
        co_return false;
    }
    if (const auto *missing = std::get_if<Unavailable>(&result)) {
        noteLost(missing->reason);
        co_return false;
    }
    noteReached();
    const auto &events = std::get<ObjectEvents>(result);
    m_revision = std::max(m_revision, events.revision);
    m_handlers.changed(events);
    co_return true;
}

asio::awaitable<void> StoreFollower::sleep(milliseconds pause)
{
    asio::steady_timer timer(m_loop, pause);
    boost::system::error_code ignored; // Only the end of the loop cancels it.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void StoreFollower::noteReached()
{
    if (m_failures != 0)
        EventLine("store.regained").add("kind", m_options.label).add("failures", m_failures);
    m_failures = 0;
}

void StoreFollower::noteLost(const std::string &reason)
{
    if (m_failures == 0)
        EventLine("store.lost").add("kind", m_options.label).add("reason", reason);
    ++m_failures;
}

} // namespace almondmill
