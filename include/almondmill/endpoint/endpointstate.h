#pragma once

#include "almondmill/config/endpoint.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/priorityqueues.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace almondmill {

/// Current status of one endpoint at this router. Updated from answers and probes, read by
/// placement. Thread-safe.
class alignas(64) EndpointState
{
public:
    static constexpr std::chrono::milliseconds SlowStartDuration{20000};

    explicit EndpointState(Endpoint endpoint);

    const Endpoint &endpoint() const { return m_endpoint; }
    std::uint64_t nameHash() const { return m_nameHash; }
    std::uint64_t dataCentreHash() const { return m_dataCentreHash; }

    /// Estimated queues of the endpoint, from which the waiting time of new work is derived.
    const PriorityQueues &queue() const { return m_queue; }
    PriorityQueues &queue() { return m_queue; }

    /// Incarnation that the endpoint last reported; zero when it is not known.
    std::uint64_t incarnation() const { return m_incarnation.load(std::memory_order_acquire); }

    /// Hash of the weights version that the endpoint last reported; zero when it is not known.
    std::uint64_t weightsHash() const { return m_weightsHash.load(std::memory_order_acquire); }

    /// Identifies one incarnation of the endpoint's cache. The cache is lost with a restart and
    /// with a change of weights; zero when the endpoint's incarnation is not known.
    std::uint64_t cacheIncarnation() const
    {
        return cacheIncarnationOf(incarnation(), weightsHash());
    }

    /// The same, from the values that an answer reports.
    static std::uint64_t cacheIncarnationOf(std::uint64_t incarnation, std::uint64_t weightsHash);

    /// Requests of this router in flight at the endpoint.
    std::uint32_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }

    /// Requests in flight at the endpoint from all routers, as it last reported.
    std::uint32_t reportedLoad() const { return m_reportedLoad.load(std::memory_order_relaxed); }

    /// Estimated requests in flight at the endpoint: the current number of this router, and the
    /// number of other routers at the time of the endpoint's last report.
    std::uint32_t load() const;

    /// Whether the endpoint itself or the VM list marks it as leaving.
    bool leaving() const { return m_leaving.load(std::memory_order_acquire); }

    /// Whether the inventory, the VM list or the endpoint itself marks it as leaving.
    bool shouldDrain() const { return m_leavingByInventory || leaving(); }

    /// Whether the endpoint does not answer the status probes of the routers.
    bool unreachable() const { return m_unreachable.load(std::memory_order_acquire); }

    /// Slow start: fraction of its usual work that the endpoint should get at `now`. Grows linearly
    /// from zero to one within `SlowStartDuration` after it returned to service or restarted.
    double slowStartFactor(SteadyTime now) const;

    /// Whether the endpoint may get new work at `now`.
    bool takesWork(SteadyTime now) const
    {
        if (shouldDrain() || unreachable())
            return false;
        return now.time_since_epoch().count() >= m_ejectedUntil.load(std::memory_order_relaxed);
    }

    void setIncarnation(std::uint64_t incarnation);
    void setWeightsHash(std::uint64_t hash);
    void setReportedLoad(std::uint32_t load);

    /// Records a load that was measured at `taken` and, where the engine reports it, the part of
    /// it that has high priority. Also corrects the estimated queues.
    void reportLoad(std::uint32_t load, std::optional<std::uint32_t> highLoad, SteadyTime taken);
    void setLeaving(bool leaving);
    void setUnreachable(bool unreachable);
    void startSlowStart(SteadyTime now);

    /// Copies the status from another state of the same endpoint, except failures and ejection.
    void copyStatusFrom(const EndpointState &other);

    void requestStarted();
    void requestEnded();

    /// Records a success and resets the count of consecutive failures.
    void succeeded();

    /// Records a failure. After several in a row the endpoint is ejected: it gets no work for a
    /// time that doubles with each further failure, up to a limit.
    void failed(SteadyTime now);

private:
    /// A start of slow start so long ago that slow start is over.
    static constexpr SteadyTime::rep NoSlowStart = -SteadyTime::duration(SlowStartDuration).count();

    std::uint64_t m_nameHash;
    std::uint64_t m_dataCentreHash;
    bool m_leavingByInventory; ///< Marked as leaving in the inventory.
    PriorityQueues m_queue;
    std::atomic<std::uint64_t> m_incarnation{0};
    std::atomic<std::uint64_t> m_weightsHash{0};
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_reportedLoad{0};
    std::atomic<std::uint32_t> m_otherRoutersLoad{0};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_unreachable{false};
    std::atomic<SteadyTime::rep> m_slowStartSince{NoSlowStart};
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<SteadyTime::rep> m_ejectedUntil{0};
    Endpoint m_endpoint; ///< Last: placement decisions read only the members above.
};

} // namespace almondmill
