#include "almondmill/store/blockingstore.h"

#include "almondmill/store/asyncstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// The event loop completes each call by its timeout. If it has not done so this much later, it is
/// taken to have stopped.
constexpr std::chrono::milliseconds StoppedLoopMargin{500};

template<typename Result>
std::optional<Result> waitForResult(std::future<Result> &future, std::chrono::milliseconds timeout)
{
    if (future.wait_for(timeout + StoppedLoopMargin) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

SteadyTime deadlineAfter(std::chrono::milliseconds timeout)
{
    return std::chrono::steady_clock::now() + timeout;
}

constexpr const char *LoopStoppedReason = "the event loop has stopped";

} // namespace

BlockingStore::BlockingStore(asio::io_context &loop, AsyncStore &store, ObjectKind kind,
                             Freshness freshness)
    : m_loop(loop)
    , m_store(store)
    , m_kind(kind)
    , m_freshness(freshness)
{}

ReadResult BlockingStore::read(const std::string &name, std::chrono::milliseconds timeout)
{
    auto future =
            asio::co_spawn(m_loop, m_store.read(m_kind, name, m_freshness, deadlineAfter(timeout)),
                           asio::use_future);
    return waitForResult(future, timeout).value_or(Unavailable{LoopStoppedReason});
}

UpdateResult BlockingStore::createIfAbsent(const std::string &name, const std::string &value,
                                           std::chrono::milliseconds timeout)
{
    auto future = asio::co_spawn(
            m_loop, m_store.create(m_kind, name, value, deadlineAfter(timeout)), asio::use_future);
    return waitForResult(future, timeout).value_or(OutcomeUnknown{LoopStoppedReason});
}

UpdateResult BlockingStore::update(const std::string &name, const std::string &value,
                                   std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    auto future = asio::co_spawn(
            m_loop, m_store.update(m_kind, name, value, expectedVersion, deadlineAfter(timeout)),
            asio::use_future);
    return waitForResult(future, timeout).value_or(OutcomeUnknown{LoopStoppedReason});
}

} // namespace almondmill
