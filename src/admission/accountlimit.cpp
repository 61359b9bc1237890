#include "almondmill/admission/accountlimit.h"

#include "almondmill/config/clientaccount.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// While the fleet's demand is below this ratio of a limit, each router may use the whole limit.
constexpr double NearLimitRatio = 0.9;
constexpr double DemandSmoothing = 0.1;
constexpr std::chrono::milliseconds TokenBurst{4000};
constexpr double MinEqualShareRatio = 1e-3;

/// This router's share of a limit. When demand exceeds the limit, the share is proportional to the
/// router's demand; otherwise it is the router's demand plus an equal fraction of the remainder.
/// Negative while demand is far from the limit.
double localShare(double limit, double own, double mean, double routers)
{
    const double total = mean * routers;
    if (total <= NearLimitRatio * limit)
        return -1;
    if (total > limit)
        return std::max(limit * own / total, limit / routers * MinEqualShareRatio);
    return own + (limit - total) / routers;
}

} // namespace

AccountLimit::Verdict AccountLimit::admit(const ClientAccount &account, std::uint32_t promptTokens,
                                          SteadyTime now)
{
    m_requestedTokens.fetch_add(promptTokens, std::memory_order_relaxed);
    if (!admitOpen(account)) {
        m_refusedOpen.fetch_add(1, std::memory_order_relaxed);
        return Verdict::TooManyOpen;
    }
    if (!admitTokens(account, promptTokens, now)) {
        release();
        return Verdict::TooManyTokens;
    }
    return Verdict::Admitted;
}

void AccountLimit::release()
{
    m_open.fetch_sub(1, std::memory_order_relaxed);
}

bool AccountLimit::admitOpen(const ClientAccount &account)
{
    const double share = m_openShare.load(std::memory_order_relaxed);
    double maxOpen = share < 0 ? static_cast<double>(account.maxConcurrent) : share;
    // A fractional slot is granted with a probability equal to the fraction.
    const std::uint64_t draw = mixHash(m_draws.fetch_add(1, std::memory_order_relaxed), 1);
    const double fraction = static_cast<double>(draw >> 11U) * 0x1.0p-53;
    maxOpen = std::floor(maxOpen) + (fraction < maxOpen - std::floor(maxOpen) ? 1 : 0);
    const std::uint32_t open = m_open.fetch_add(1, std::memory_order_relaxed);
    if (static_cast<double>(open) >= maxOpen) {
        release();
        return false;
    }
    std::uint32_t peak = m_peakOpen.load(std::memory_order_relaxed);
    while (peak < open + 1
           && !m_peakOpen.compare_exchange_weak(peak, open + 1, std::memory_order_relaxed)) {
    }
    return true;
}

bool AccountLimit::admitTokens(const ClientAccount &account, std::uint32_t promptTokens,
                               SteadyTime now)
{
    if (account.promptTokensPerSecond == 0)
        return true;
    const double share = m_tokensShare.load(std::memory_order_relaxed);
    const bool isFarFromLimit = share < 0;
    const double rate = isFarFromLimit ? static_cast<double>(account.promptTokensPerSecond) : share;
    return m_tokens.take(promptTokens, rate, TokenBurst, now);
}

void AccountLimit::update(const ClientAccount &account, std::size_t routers,
                          std::chrono::milliseconds period)
{
    const std::chrono::duration<double> seconds = period;
    const auto requested =
            static_cast<double>(m_requestedTokens.exchange(0, std::memory_order_relaxed));
    const std::uint32_t open = m_open.load(std::memory_order_relaxed);
    const std::uint32_t peak = m_peakOpen.exchange(open, std::memory_order_relaxed);
    const std::uint32_t refused = m_refusedOpen.exchange(0, std::memory_order_relaxed);
    const std::lock_guard<std::mutex> lock(m_estimateMutex);
    DemandEstimate::Demand own = m_estimate.own();
    own.concurrent += DemandSmoothing * (std::max(open, peak) + refused - own.concurrent);
    own.tokensPerSecond += DemandSmoothing * (requested / seconds.count() - own.tokensPerSecond);
    m_estimate.setOwn(own);
    const DemandEstimate::Demand mean = m_estimate.mean();
    const auto count = static_cast<double>(std::max<std::size_t>(routers, 1));
    const auto openLimit = static_cast<double>(account.maxConcurrent);
    const auto tokenLimit = static_cast<double>(account.promptTokensPerSecond);
    m_openShare.store(localShare(openLimit, own.concurrent, mean.concurrent, count));
    double pressure = mean.concurrent * count / std::max(openLimit, 1.0);
    if (tokenLimit > 0) {
        m_tokensShare.store(
                localShare(tokenLimit, own.tokensPerSecond, mean.tokensPerSecond, count));
        pressure = std::max(pressure, mean.tokensPerSecond * count / tokenLimit);
    }
    m_pressure.store(pressure, std::memory_order_relaxed);
}

AccountUsage AccountLimit::takeHalf()
{
    const std::lock_guard<std::mutex> lock(m_estimateMutex);
    return m_estimate.takeHalf();
}

void AccountLimit::add(const AccountUsage &usage)
{
    const std::lock_guard<std::mutex> lock(m_estimateMutex);
    m_estimate.add(usage);
}

} // namespace almondmill
