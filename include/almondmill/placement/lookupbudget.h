#pragma once

#include "almondmill/admission/ratelimiter.h"
#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>

namespace almondmill {

/// Bounds the bytes of lookups. Where they don't suffice for all prefixes, the same ones are looked
/// up each time, and by every router with the same load: a prefix that is looked up now and placed
/// alone then would get copies. Lock-free, safe to use from several threads.
class LookupBudget
{
public:
    /// Share of the prefixes that the budget suffices for.
    double share() const { return m_share.load(std::memory_order_relaxed); }

    /// Takes a lookup's bytes for the prefix; false when it must do without.
    bool take(std::uint64_t key, double bytes, SteadyTime now);

private:
    void count(double bytes, SteadyTime now);

    RateLimiter m_limiter;
    std::atomic<double> m_share{1.0};
    std::atomic<double> m_wanted{0};
    std::atomic<SteadyTime::rep> m_windowStart{0};
};

} // namespace almondmill
