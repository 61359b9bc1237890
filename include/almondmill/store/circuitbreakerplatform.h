#pragma once

#include "almondmill/store/circuitbreaker.h"
#include "almondmill/store/platform.h"

#include <functional>
#include <memory>
#include <mutex>

namespace almondmill {

class Counter;
class Metrics;

/// Platform client with a circuit breaker: during an outage only probes are sent; all other calls
/// fail immediately, reads as Unavailable and updates as NotApplied. Thread-safe; the lock is not
/// held during calls to the platform.
class CircuitBreakerPlatform : public Platform
{
public:
    using Clock = std::function<SteadyTime()>;

    /// Counts in `metrics` the calls that the circuit breaker did not allow.
    CircuitBreakerPlatform(std::unique_ptr<Platform> inner, Metrics &metrics,
                           Clock clock = std::chrono::steady_clock::now);
    ~CircuitBreakerPlatform() override;

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) override;
    WatchResult watch(const std::string &prefix, std::uint64_t revision,
                      std::chrono::milliseconds wait) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;
    UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                        std::chrono::milliseconds timeout) override;
    VmListResult vms(std::chrono::milliseconds timeout) override;

private:
    template<typename NotCalled, typename Result, typename Call>
    Result callIfAllowed(Call &&call);
    bool allow();
    void recordResult(bool answered);

    std::unique_ptr<Platform> m_inner;
    Counter &m_notCalled;
    Clock m_clock;
    std::mutex m_mutex;
    CircuitBreaker m_circuitBreaker;
};

} // namespace almondmill
