#pragma once

#include "almondmill/store/circuit.h"
#include "almondmill/store/platform.h"

#include <functional>
#include <memory>
#include <mutex>

namespace almondmill {

class Counter;
class Metrics;

/// A platform client behind a circuit: during an outage few calls go out, and the others fail at
/// once, an update as NotApplied. Safe to use from several threads; its lock is never held during a
/// call.
class GuardedPlatform : public Platform
{
public:
    using Clock = std::function<SteadyTime()>;

    /// Counts the calls that were not let through in `metrics`.
    GuardedPlatform(std::unique_ptr<Platform> inner, Metrics &metrics,
                    Clock clock = std::chrono::steady_clock::now);
    ~GuardedPlatform() override;

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
    template<typename Refused, typename Result, typename Call>
    Result guard(Call &&call);
    bool allow();
    void tell(bool answered);

    std::unique_ptr<Platform> m_inner;
    Counter &m_refused;
    Clock m_clock;
    std::mutex m_mutex;
    Circuit m_circuit;
};

} // namespace almondmill
