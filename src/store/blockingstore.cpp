#include "almondmill/store/blockingstore.h"

#include "almondmill/store/asyncstore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// The loop ends each call by its timeout; after this much more it has stopped.
constexpr std::chrono::milliseconds StoppedLoopMargin{500};

template<typename Result>
std::optional<Result> resultOf(std::future<Result> &future, std::chrono::milliseconds timeout)
{
    if (future.wait_for(timeout + StoppedLoopMargin) != std::future_status::ready)
        return std::nullopt;
    return future.get();
}

SteadyTime deadlineIn(std::chrono::milliseconds timeout)
{
    return std::chrono::steady_clock::now() + timeout;
}

constexpr const char *LoopStopped = "the event loop has stopped";

} // namespace

BlockingStore::BlockingStore(asio::io_context &loop, AsyncStore &store, ObjectKind kind)
    : m_loop(loop)
    , m_store(store)
    , m_kind(kind)
{}

ReadResult BlockingStore::read(const std::string &name, std::chrono::milliseconds timeout)
{
    auto future = asio::co_spawn(m_loop, m_store.read(m_kind, name, deadlineIn(timeout)),
                                 asio::use_future);
    return resultOf(future, timeout).value_or(Unavailable{LoopStopped});
}

UpdateResult BlockingStore::createIfAbsent(const std::string &name, const std::string &value,
                                           std::chrono::milliseconds timeout)
{
    auto future = asio::co_spawn(m_loop, m_store.create(m_kind, name, value, deadlineIn(timeout)),
                                 asio::use_future);
    return resultOf(future, timeout).value_or(OutcomeUnknown{LoopStopped});
}

UpdateResult BlockingStore::update(const std::string &name, const std::string &value,
                                   std::uint64_t expectedVersion, std::chrono::milliseconds timeout)
{
    auto future = asio::co_spawn(
            m_loop, m_store.update(m_kind, name, value, expectedVersion, deadlineIn(timeout)),
            asio::use_future);
    return resultOf(future, timeout).value_or(OutcomeUnknown{LoopStopped});
}

} // namespace almondmill
