#include "almondmill/admission/demandestimate.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr double CorrectionRatio = 0.01;
constexpr double MinWeight = 1e-6;

float halve(double &value)
{
    value /= 2;
    return static_cast<float>(value);
}

} // namespace

DemandEstimate::Demand DemandEstimate::mean() const
{
    const double weight = std::max(m_weight, MinWeight);
    return {std::max(m_held.concurrent, 0.0) / weight,
            std::max(m_held.tokensPerSecond, 0.0) / weight};
}

void DemandEstimate::setOwn(const Demand &own)
{
    m_held.concurrent += own.concurrent - m_own.concurrent;
    m_held.tokensPerSecond += own.tokensPerSecond - m_own.tokensPerSecond;
    m_own = own;
    m_held.concurrent += CorrectionRatio * (own.concurrent - m_held.concurrent);
    m_held.tokensPerSecond += CorrectionRatio * (own.tokensPerSecond - m_held.tokensPerSecond);
    m_weight += CorrectionRatio * (1 - m_weight);
}

AccountUsage DemandEstimate::takeHalf()
{
    AccountUsage usage;
    usage.concurrent = halve(m_held.concurrent);
    usage.tokensPerSecond = halve(m_held.tokensPerSecond);
    usage.weight = halve(m_weight);
    return usage;
}

void DemandEstimate::add(const AccountUsage &usage)
{
    m_held.concurrent += static_cast<double>(usage.concurrent);
    m_held.tokensPerSecond += static_cast<double>(usage.tokensPerSecond);
    m_weight += static_cast<double>(usage.weight);
}

} // namespace almondmill
