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
struct LeaseGrant;

/// Acquires and renews the lease of the weights roll-out on a thread of its own, and posts the
/// roll-out's steps to the event loop while it holds the lease. While no roll-out is needed, the
/// thread is idle, except that the first candidate reads the lease at a low rate.
class RolloutLeader
{
public:
    RolloutLeader(ForwardingContext &context, AsyncStore &store, WeightsRollout &rollout);
    ~RolloutLeader();
    RolloutLeader(const RolloutLeader &) = delete;
    RolloutLeader &operator=(const RolloutLeader &) = delete;

    void start();

    /// Asks the thread to release the lease and to end. The event loop must keep running until
    /// `stop`, or the lease is left to expire.
    void resign();
    void stop();

    /// Sets whether a roll-out is needed, the routers that should take over first when the holder
    /// fails, and when the roll-out last made progress. Must be called on the event loop.
    void update(bool needed, std::vector<std::string> candidates, SteadyTime lastProgress);

    bool holdsLease() const { return m_holds; }

private:
    void run();
    /// Runs one step of the thread; logs an exception, which ends that step only.
    static void guarded(const std::function<void()> &step);
    bool waitForWork();
    bool isFirstCandidate() const;
    void runOnce();
    bool shouldRequestLease(SteadyTime now);
    void requestLease();
    /// Tells the lease of the store's era, so that its wait for an earlier holder begins early.
    void recordStoreEra();
    void releaseLease();
    /// Restores what the lease's record says of named weights, and continues the lease if a
    /// previous process of this VM held it.
    void readRecordAtStart();
    void writeNote();

    /// Runs a short task on the event loop; returns nullopt when it does not finish in time, as
    /// when the loop has stopped.
    std::optional<SteadyTime> runOnLoop(std::function<SteadyTime()> task);
    SteadyTime earliestOrderTime() const;
    void logHolderChange();
    void postStep(const LeaseGrant &grant);

    /// Returns false when the thread should end.
    bool pause(std::chrono::milliseconds duration);

    ForwardingContext &m_context;
    AsyncStore &m_platformStore; ///< Used on the event loop.
    WeightsRollout &m_rollout;
    std::unique_ptr<BlockingStore> m_store;
    std::unique_ptr<BlockingStore> m_staleStore; ///< Reads that cost less and may be outdated.
    Lease m_lease;
    const std::uint64_t m_ownHash; ///< Seeds the jitter of this router's delays.
    std::atomic<bool> m_holds{false};

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_candidates; ///< Names of routers, the first choice first.
    bool m_needed = false;
    bool m_resigning = false;
    bool m_stopping = false;
    SteadyTime m_neededSince;
    SteadyTime m_lastProgress;
    std::uint64_t m_storeEra = 0;
    SteadyTime m_storeEraSince; ///< On the boot clock.
    std::thread m_thread;
};

} // namespace almondmill
