#include "almondmill/endpoint/endpointstate.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr std::uint32_t FailuresBeforeEjection = 3;
constexpr std::uint32_t MaxEjectionDoublings = 5;
constexpr std::chrono::milliseconds FirstEjection{1000};
} // namespace

EndpointState::EndpointState(Endpoint endpoint)
    : m_nameHash(hash64(endpoint.name))
    , m_dataCentreHash(hash64(endpoint.dataCentre))
    , m_leavingByInventory(endpoint.leaving)
    , m_endpoint(std::move(endpoint))
{}

std::uint64_t EndpointState::cacheIncarnationOf(std::uint64_t incarnation,
                                                std::uint64_t weightsHash)
{
    return incarnation == 0 ? 0 : mixHash(incarnation, weightsHash);
}

std::uint32_t EndpointState::load() const
{
    return inFlight() + m_otherRoutersLoad.load(std::memory_order_relaxed);
}

double EndpointState::slowStartFactor(SteadyTime now) const
{
    using Seconds = std::chrono::duration<double>;
    const SteadyTime::duration since(m_slowStartSince.load(std::memory_order_relaxed));
    const Seconds elapsed = now.time_since_epoch() - since;
    return std::clamp(elapsed / Seconds(SlowStartDuration), 0.0, 1.0);
}

void EndpointState::setIncarnation(std::uint64_t incarnation)
{
    m_incarnation.store(incarnation, std::memory_order_release);
}

void EndpointState::setWeightsHash(std::uint64_t hash)
{
    m_weightsHash.store(hash, std::memory_order_release);
}

void EndpointState::setReportedLoad(std::uint32_t load)
{
    const std::uint32_t own = inFlight();
    m_reportedLoad.store(load, std::memory_order_relaxed);
    m_otherRoutersLoad.store(load > own ? load - own : 0, std::memory_order_relaxed);
}

void EndpointState::reportLoad(std::uint32_t load, std::optional<std::uint32_t> highLoad,
                               SteadyTime taken)
{
    setReportedLoad(load);
    m_queue.report(load, highLoad, taken);
}

void EndpointState::setLeaving(bool leaving)
{
    m_leaving.store(leaving, std::memory_order_release);
}

void EndpointState::setUnreachable(bool unreachable)
{
    m_unreachable.store(unreachable, std::memory_order_release);
}

void EndpointState::startSlowStart(SteadyTime now)
{
    m_slowStartSince.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void EndpointState::copyStatusFrom(const EndpointState &other)
{
    setIncarnation(other.incarnation());
    setWeightsHash(other.weightsHash());
    setReportedLoad(other.reportedLoad());
    setLeaving(other.leaving());
    setUnreachable(other.unreachable());
    m_slowStartSince.store(other.m_slowStartSince.load(std::memory_order_relaxed),
                           std::memory_order_relaxed);
}

void EndpointState::requestStarted()
{
    m_inFlight.fetch_add(1, std::memory_order_relaxed);
}

void EndpointState::requestEnded()
{
    m_inFlight.fetch_sub(1, std::memory_order_relaxed);
}

void EndpointState::succeeded()
{
    m_failures.store(0, std::memory_order_relaxed);
}

void EndpointState::failed(SteadyTime now)
{
    const std::uint32_t failures = m_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (failures < FailuresBeforeEjection)
        return;
    const std::uint32_t doublings =
            std::min(failures - FailuresBeforeEjection, MaxEjectionDoublings);
    const SteadyTime until = now + FirstEjection * (1U << doublings);
    m_ejectedUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
}

} // namespace almondmill
