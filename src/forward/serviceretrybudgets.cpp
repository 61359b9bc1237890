#include "almondmill/forward/serviceretrybudgets.h"

#include "almondmill/admission/retrybudget.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Share of the minimum retries that may be spent in a burst. The rest is refilled evenly over the
/// window, so that no window of that length exceeds the budget.
constexpr double BurstRatio = 0.5;

/// Safety margin: requests are counted here when they arrive, but by the users when they end.
constexpr double RetryRatioMargin = 0.8;

} // namespace

ServiceRetryBudgets::ServiceRetryBudgets(const Options &options)
    : m_options(options)
{}

ServiceRetryBudgets::~ServiceRetryBudgets() = default;

void ServiceRetryBudgets::setRouters(std::uint32_t routers)
{
    if (routers <= m_options.routerCount)
        return;
    m_options.routerCount = routers;
    for (auto &[service, entry] : m_budgets) {
        if (!entry.budget)
            continue;
        entry.left = entry.budget->available();
        entry.budget.reset(); // It is made anew with the smaller share.
    }
}

void ServiceRetryBudgets::requestStarted(const std::string &service, SteadyTime now)
{
    budgetOf(service, now).requestStarted(now);
}

bool ServiceRetryBudgets::canTake(const std::string &service, SteadyTime now, RetryReason reason)
{
    return budgetOf(service, now).canTake(now, reason);
}

bool ServiceRetryBudgets::take(const std::string &service, SteadyTime now, RetryReason reason)
{
    return budgetOf(service, now).take(now, reason);
}

RetryBudget &ServiceRetryBudgets::budgetOf(const std::string &service, SteadyTime now)
{
    Entry &entry = m_budgets[service];
    if (entry.budget)
        return *entry.budget;
    const double ownMinRetries = static_cast<double>(m_options.minRetries) / m_options.routerCount;
    RetryBudget::Options options;
    options.share = m_options.retryRatio * RetryRatioMargin;
    options.maxAvailable = std::max(ownMinRetries * BurstRatio, 1.0);
    options.minPerSecond = ownMinRetries * (1 - BurstRatio)
                           / std::chrono::duration<double>(m_options.window).count();
    entry.budget =
            std::make_unique<RetryBudget>(options, now, entry.left.value_or(options.maxAvailable));
    return *entry.budget;
}

} // namespace almondmill
