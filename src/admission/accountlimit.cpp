#include "almondmill/admission/accountlimit.h"

#include "almondmill/config/clientaccount.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Below this share of a fleet-wide limit every request is admitted.
constexpr double NearLimit = 0.9;
constexpr double DemandSmoothing = 0.1;
constexpr std::chrono::milliseconds TokenBurst{4000};
constexpr double LeastPart = 1e-3;

/// This router's part of a limit: in proportion to demand when there is too much of it, else its
/// demand and an equal part of the rest. Negative while the limit is far.
double partOf(double limit, double own, double mean, double routers)
{
    const double total = mean * routers;
    if (total <= NearLimit * limit)
        return -1;
    if (total > limit)
        return std::max(limit * own / total, limit / routers * LeastPart);
    return own + (limit - total) / routers;
}

} // namespace

AccountLimit::Verdict AccountLimit::admit(const ClientAccount &account, std::uint32_t promptTokens,
                                          SteadyTime now)
{
    m_wantedTokens.fetch_add(promptTokens, std::memory_order_relaxed);
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
    const double part = m_openPart.load(std::memory_order_relaxed);
    double most = part < 0 ? static_cast<double>(account.maxConcurrent) : part;
    // A fraction of a place is given out as often as it says.
    const std::uint64_t draw = mixHash(m_draws.fetch_add(1, std::memory_order_relaxed), 1);
    const double fraction = static_cast<double>(draw >> 11U) * 0x1.0p-53;
    most = std::floor(most) + (fraction < most - std::floor(most) ? 1 : 0);
    const std::uint32_t open = m_open.fetch_add(1, std::memory_order_relaxed);
    if (static_cast<double>(open) >= most) {
        release();
        return false;
    }
    std::uint32_t seen = m_mostOpen.load(std::memory_order_relaxed);
    while (seen < open + 1
           && !m_mostOpen.compare_exchange_weak(seen, open + 1, std::memory_order_relaxed)) {
    }
    return true;
}

bool AccountLimit::admitTokens(const ClientAccount &account, std::uint32_t promptTokens,
                               SteadyTime now)
{
    if (account.promptTokensPerSecond == 0)
        return true;
    const double part = m_tokensPart.load(std::memory_order_relaxed);
    const bool isFar = part < 0;
    const double rate = isFar ? static_cast<double>(account.promptTokensPerSecond) : part;
    return m_tokens.take(promptTokens, rate, TokenBurst, now);
}

void AccountLimit::update(const ClientAccount &account, std::size_t routers,
                          std::chrono::milliseconds period)
{
    const std::chrono::duration<double> seconds = period;
    const auto wanted = static_cast<double>(m_wantedTokens.exchange(0, std::memory_order_relaxed));
    const std::uint32_t open = m_open.load(std::memory_order_relaxed);
    const std::uint32_t most = m_mostOpen.exchange(open, std::memory_order_relaxed);
    const std::uint32_t refused = m_refusedOpen.exchange(0, std::memory_order_relaxed);
    const std::lock_guard<std::mutex> lock(m_estimateMutex);
    DemandEstimate::Demand own = m_estimate.own();
    own.concurrent += DemandSmoothing * (std::max(open, most) + refused - own.concurrent);
    own.tokensPerSecond += DemandSmoothing * (wanted / seconds.count() - own.tokensPerSecond);
    m_estimate.setOwn(own);
    const DemandEstimate::Demand mean = m_estimate.mean();
    const auto count = static_cast<double>(std::max<std::size_t>(routers, 1));
    const auto openLimit = static_cast<double>(account.maxConcurrent);
    const auto tokenLimit = static_cast<double>(account.promptTokensPerSecond);
    m_openPart.store(partOf(openLimit, own.concurrent, mean.concurrent, count));
    double pressure = mean.concurrent * count / std::max(openLimit, 1.0);
    if (tokenLimit > 0) {
        m_tokensPart.store(partOf(tokenLimit, own.tokensPerSecond, mean.tokensPerSecond, count));
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
