#pragma once

#include "almondmill/admission/ratelimiter.h"
#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>

namespace almondmill {

/// Limits the bytes per second that are spent on owner lookups. When the budget does not suffice
/// for all prefixes, a hash of the prefix selects the ones that are looked up, so these are the
/// same each time and at every router with the same load. If a prefix were sometimes looked up and
/// sometimes placed by the router alone, it would be cached at several endpoints. Thread-safe and
/// lock-free.
class LookupBudget
{
public:
    /// Fraction of the prefixes for which the budget suffices.
    double share() const { return m_share.load(std::memory_order_relaxed); }

    /// Takes the bytes of one lookup for the prefix. False when the router must decide without a
    /// lookup.
    bool take(std::uint64_t key, double bytes, SteadyTime now);

private:
    void count(double bytes, SteadyTime now);

    RateLimiter m_limiter;
    std::atomic<double> m_share{1.0};
    std::atomic<double> m_requestedBytes{0};
    std::atomic<SteadyTime::rep> m_windowStart{0};
};

} // namespace almondmill
