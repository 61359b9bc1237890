#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/orders/lease.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace almondmill {

class AsyncStore;
class BlockingStore;
class WeightsRollout;
struct ForwardingContext;
struct OrderRight;

/// Holds the lease of the roll-out where it is this router's turn, on a thread of its own, and has
/// the event loop give the orders. Without a roll-out it sleeps and calls nothing.
class RolloutLeader
{
public:
    RolloutLeader(ForwardingContext &context, AsyncStore &store, WeightsRollout &rollout);
    ~RolloutLeader();
    RolloutLeader(const RolloutLeader &) = delete;
    RolloutLeader &operator=(const RolloutLeader &) = delete;

    void start();

    /// Gives the lease up and asks for it no more; the event loop must go on meanwhile.
    void resign();
    void stop();

    /// Says whether a roll-out is needed, which routers should take over first from a holder that
    /// fails, and when the roll-out last made progress. Called on the event loop.
    void update(bool needed, std::vector<std::string> line, SteadyTime lastProgress);

    bool holdsLease() const { return m_holds; }

private:
    void run();
    bool waitForWork();
    bool isFirstInLine() const;
    void runOnce();
    bool isOwnTurn(SteadyTime now);
    void giveUp();
    void readNote();
    void writeNote();

    /// Runs a short task on the event loop; nothing when the loop has stopped.
    std::optional<SteadyTime> onLoop(std::function<SteadyTime()> task);
    SteadyTime orderFrom() const;
    void noteHolder();
    void stepOnLoop(const OrderRight &right);
    bool pause(std::chrono::milliseconds duration);

    ForwardingContext &m_context;
    WeightsRollout &m_rollout;
    std::unique_ptr<BlockingStore> m_store;
    Lease m_lease;
    const std::uint64_t m_ownHash; ///< Spreads what routers do one after the other.
    std::atomic<bool> m_holds{false};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_line; ///< Names of routers.
    bool m_needed = false;
    bool m_resigning = false;
    bool m_stopping = false;
    SteadyTime m_neededSince;
    SteadyTime m_lastProgress;
    std::thread m_thread;
};

} // namespace almondmill
