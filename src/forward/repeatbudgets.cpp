#include "almondmill/forward/repeatbudgets.h"

#include "almondmill/admission/retrybudget.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Part of the fixed repeats that may be spent at once; the rest comes evenly over the window, so
/// that no window of that length holds more than the whole.
constexpr double BurstPart = 0.5;

/// Requests are counted here as they come and by the users where they end: a margin between them.
constexpr double SharePart = 0.8;

} // namespace

RepeatBudgets::RepeatBudgets(const Options &options)
    : m_options(options)
{}

RepeatBudgets::~RepeatBudgets() = default;

void RepeatBudgets::setRouters(std::uint32_t routers)
{
    if (routers <= m_options.routers)
        return;
    m_options.routers = routers;
    m_budgets.clear(); // Made anew with the smaller share.
}

void RepeatBudgets::requestStarted(const std::string &service, SteadyTime now)
{
    budgetOf(service, now).requestStarted(now);
}

bool RepeatBudgets::take(const std::string &service, SteadyTime now)
{
    return budgetOf(service, now).take(now);
}

RetryBudget &RepeatBudgets::budgetOf(const std::string &service, SteadyTime now)
{
    auto &budget = m_budgets[service];
    if (budget)
        return *budget;
    const double own = static_cast<double>(m_options.always) / m_options.routers;
    RetryBudget::Options options;
    options.share = m_options.share * SharePart;
    options.most = std::max(own * BurstPart, 1.0);
    options.alwaysPerSecond =
            own * (1 - BurstPart) / std::chrono::duration<double>(m_options.window).count();
    budget = std::make_unique<RetryBudget>(options, now);
    return *budget;
}

} // namespace almondmill
