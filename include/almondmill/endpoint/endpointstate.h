#pragma once

#include "almondmill/config/endpoint.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/priorityqueues.h"

#include <atomic>
#include <cstdint>
#include <optional>

namespace almondmill {

/// What this router knows of one endpoint at the moment. Written by answers and probes, read by
/// placement; every member is safe to use from several threads.
class alignas(64) EndpointState
{
public:
    static constexpr std::chrono::milliseconds WarmingTime{20000};

    explicit EndpointState(Endpoint endpoint);

    const Endpoint &endpoint() const { return m_endpoint; }
    std::uint64_t nameHash() const { return m_nameHash; }
    std::uint64_t dataCentreHash() const { return m_dataCentreHash; }

    /// How long new work is expected to wait there.
    const PriorityQueues &queue() const { return m_queue; }
    PriorityQueues &queue() { return m_queue; }

    /// Incarnation the endpoint last told; zero when it is not known.
    std::uint64_t incarnation() const { return m_incarnation.load(std::memory_order_acquire); }

    /// Hash of the weights version the endpoint last told; zero when it is not known.
    std::uint64_t weightsHash() const { return m_weightsHash.load(std::memory_order_acquire); }

    /// Names one life of the endpoint's cache, which ends with a restart and with a change of
    /// weights; zero when it is not known.
    std::uint64_t cacheLife() const { return cacheLifeOf(incarnation(), weightsHash()); }

    /// The same from what an answer tells.
    static std::uint64_t cacheLifeOf(std::uint64_t incarnation, std::uint64_t weightsHash);

    /// Requests of this router open at the endpoint.
    std::uint32_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }

    /// Requests open at the endpoint, as it last told.
    std::uint32_t reportedLoad() const { return m_reportedLoad.load(std::memory_order_relaxed); }

    /// Requests open at the endpoint now, as far as known: this router's, which it counts itself,
    /// and those of others when the endpoint last told.
    std::uint32_t load() const;

    /// Whether the endpoint itself or the VM list says that it is leaving.
    bool leaving() const { return m_leaving.load(std::memory_order_acquire); }

    /// Whether the inventory, the VM list or the endpoint itself says that it is leaving.
    bool isToLeave() const { return m_toBeEmptied || leaving(); }

    /// Whether routers that probe the endpoint get no answer from it.
    bool unreachable() const { return m_unreachable.load(std::memory_order_acquire); }

    /// Share of its usual work that the endpoint should get at `now`: grows evenly to one within
    /// `WarmingTime` after it came back or started anew.
    double warmth(SteadyTime now) const;

    /// Whether the endpoint may get new work at `now`.
    bool takesWork(SteadyTime now) const
    {
        if (isToLeave() || unreachable())
            return false;
        return now.time_since_epoch().count() >= m_ejectedUntil.load(std::memory_order_relaxed);
    }

    void setIncarnation(std::uint64_t incarnation);
    void setWeightsHash(std::uint64_t hash);
    void setReportedLoad(std::uint32_t load);

    /// Takes in a load that was measured at `taken`, and the part of high priority where the engine
    /// tells it: corrects the expected queues too.
    void reportLoad(std::uint32_t load, std::optional<std::uint32_t> highLoad, SteadyTime taken);
    void setLeaving(bool leaving);
    void setUnreachable(bool unreachable);
    void startWarming(SteadyTime now);

    /// Takes over what was learned by another state of the same endpoint.
    void takeOver(const EndpointState &other);

    void requestStarted();
    void requestEnded();

    /// Counts a success: the next failure starts with the shortest ejection again.
    void succeeded();

    /// Counts a failure: after several in a row the endpoint gets no work for a time that doubles.
    void failed(SteadyTime now);

private:
    /// So long ago that the endpoint is warm.
    static constexpr SteadyTime::rep NeverWarmed = -SteadyTime::duration(WarmingTime).count();

    std::uint64_t m_nameHash;
    std::uint64_t m_dataCentreHash;
    bool m_toBeEmptied; ///< By the inventory.
    PriorityQueues m_queue;
    std::atomic<std::uint64_t> m_incarnation{0};
    std::atomic<std::uint64_t> m_weightsHash{0};
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_reportedLoad{0};
    std::atomic<std::uint32_t> m_othersLoad{0};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_unreachable{false};
    std::atomic<SteadyTime::rep> m_warmingSince{NeverWarmed};
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<SteadyTime::rep> m_ejectedUntil{0};
    Endpoint m_endpoint; ///< Last: decisions read what stands before.
};

} // namespace almondmill
