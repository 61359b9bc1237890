#pragma once

#include "almondmill/admission/demandestimate.h"
#include "almondmill/admission/ratelimiter.h"
#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace almondmill {

struct ClientAccount;

/// One client account's limits at this router: its share of the fleet-wide limits. Admission reads
/// and writes atomics only; the shares are recomputed once per period, outside of the request path.
class AccountLimit
{
public:
    enum class Verdict { Admitted, TooManyOpen, TooManyTokens };

    std::uint32_t open() const { return m_open.load(std::memory_order_relaxed); }

    /// Ratio of the fleet's estimated demand to the fleet-wide limit; the larger one of the ratios
    /// for open requests and for prompt tokens.
    double pressure() const { return m_pressure.load(std::memory_order_relaxed); }

    /// Admits a request of `promptTokens` tokens, or returns which limit is reached. Lock-free.
    Verdict admit(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);
    void release();

    /// Recomputes this router's shares at the end of a period, from its own demand in the period
    /// and the estimate of the fleet's demand.
    void update(const ClientAccount &account, std::size_t routers,
                std::chrono::milliseconds period);

    AccountUsage takeHalf();
    void add(const AccountUsage &usage);

private:
    bool admitOpen(const ClientAccount &account);
    bool admitTokens(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);

    std::atomic<std::uint32_t> m_open{0};
    std::atomic<std::uint32_t> m_peakOpen{0};
    std::atomic<std::uint32_t> m_refusedOpen{0};
    std::atomic<std::uint64_t> m_requestedTokens{0};
    std::atomic<std::uint64_t> m_draws{0};
    RateLimiter m_tokens;

    std::atomic<double> m_openShare{-1};   ///< Negative: demand is far from the limit.
    std::atomic<double> m_tokensShare{-1}; ///< Negative: demand is far from the limit.
    std::atomic<double> m_pressure{0};

    std::mutex m_estimateMutex; ///< Never locked by `admit`.
    DemandEstimate m_estimate;
};

} // namespace almondmill
