#include "almondmill/admission/fairshares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace almondmill {

namespace {

using Seconds = std::chrono::duration<double>;

/// A router of a large fleet gets few requests a second; fewer samples would make a share of it a
/// matter of chance.
constexpr Seconds TimeConstant{10};

/// An account exceeds its share when it asks for this multiple of it, as demand is estimated from
/// few requests.
constexpr double ExceedingRatio = 1.5;

/// Accounts that ask for fewer slots are forgotten.
constexpr double MinSlots = 1e-4;
constexpr std::chrono::seconds CleaningInterval{10};

/// The max-min fair share: the cap on each account's slots at which the capped demands add up to
/// `slots`; `slots` itself when all demands fit.
double fairShare(std::vector<double> asked, double slots)
{
    std::sort(asked.begin(), asked.end());
    double left = slots;
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double equal = left / static_cast<double>(asked.size() - index);
        if (asked[index] > equal)
            return equal;
        left -= asked[index];
    }
    return slots;
}

} // namespace

void FairShares::record(const std::string &account, Seconds slotTime, SteadyTime now)
{
    forgetIdle(now);
    Demand &demand = m_demands[account];
    demand.slotSeconds = slotsAskedFor(demand, now) * TimeConstant.count() + slotTime.count();
    demand.updatedAt = now;
}

AccountShare FairShares::shareOf(const std::string &account, double slots, SteadyTime now) const
{
    const auto own = m_demands.find(account);
    if (own == m_demands.end())
        return AccountShare::Even;
    std::vector<double> asked;
    asked.reserve(m_demands.size());
    for (const auto &[name, demand] : m_demands)
        asked.push_back(slotsAskedFor(demand, now));
    const double highest = *std::max_element(asked.begin(), asked.end());
    const double limit = ExceedingRatio * fairShare(std::move(asked), slots);
    if (highest <= limit)
        return AccountShare::Even;
    return slotsAskedFor(own->second, now) > limit ? AccountShare::Exceeding : AccountShare::Within;
}

double FairShares::slotsAskedFor(const Demand &demand, SteadyTime now) const
{
    const Seconds age = now - demand.updatedAt;
    return demand.slotSeconds / TimeConstant.count() * std::exp(-age / TimeConstant);
}

void FairShares::forgetIdle(SteadyTime now)
{
    if (now - m_cleanedAt < CleaningInterval)
        return;
    m_cleanedAt = now;
    absl::erase_if(m_demands,
                   [&](const auto &entry) { return slotsAskedFor(entry.second, now) < MinSlots; });
}

} // namespace almondmill
