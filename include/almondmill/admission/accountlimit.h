#pragma once

#include "almondmill/admission/demandestimate.h"
#include "almondmill/admission/ratelimiter.h"
#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace almondmill {

struct ClientAccount;

/// One client account's limits at this router: its part of the fleet-wide limits. Admission reads
/// and writes atomics only; the parts are worked out aside, once a period.
class AccountLimit
{
public:
    enum class Verdict { Admitted, TooManyOpen, TooManyTokens };

    std::uint32_t open() const { return m_open.load(std::memory_order_relaxed); }

    /// Share of the fleet-wide limit in use, by the larger of the two limits.
    double pressure() const { return m_pressure.load(std::memory_order_relaxed); }

    /// Admits a request of so many prompt tokens, or says which limit is reached. Lock-free.
    Verdict admit(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);
    void release();

    /// Works out this router's part after a period, from its own demand in it and the estimate of
    /// the fleet's.
    void update(const ClientAccount &account, std::size_t routers,
                std::chrono::milliseconds period);

    AccountUsage takeHalf();
    void add(const AccountUsage &usage);

private:
    bool admitOpen(const ClientAccount &account);
    bool admitTokens(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);

    std::atomic<std::uint32_t> m_open{0};
    std::atomic<std::uint32_t> m_mostOpen{0};
    std::atomic<std::uint32_t> m_refusedOpen{0};
    std::atomic<std::uint64_t> m_wantedTokens{0};
    std::atomic<std::uint64_t> m_draws{0};
    RateLimiter m_tokens;

    std::atomic<double> m_openPart{-1};   ///< Negative: no limit is near.
    std::atomic<double> m_tokensPart{-1}; ///< Negative: no limit is near.
    std::atomic<double> m_pressure{0};

    std::mutex m_estimateMutex; ///< Not taken by admission.
    DemandEstimate m_estimate;
};

} // namespace almondmill
