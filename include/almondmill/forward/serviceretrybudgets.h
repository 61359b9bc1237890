#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace almondmill {

class RetryBudget;

/// This router's share of the retry budget of each service, which all routers together must not
/// exceed.
class ServiceRetryBudgets
{
public:
    struct Options
    {
        double retryRatio = 0.2;        ///< Retries per request, over all routers.
        std::uint32_t minRetries = 100; ///< Retries per window that are allowed beyond the ratio.
        std::chrono::milliseconds window{10000};
        std::uint32_t routerCount = 16; ///< Routers that share the budget; an upper bound.
    };

    explicit ServiceRetryBudgets(const Options &options);
    ~ServiceRetryBudgets();

    /// Raises the number of routers that share the budgets; a lower number has no effect.
    void setRouters(std::uint32_t routers);

    void requestStarted(const std::string &service, SteadyTime now);

    /// Takes one retry out of the service's budget; false when the budget is exhausted.
    bool take(const std::string &service, SteadyTime now);

private:
    RetryBudget &budgetOf(const std::string &service, SteadyTime now);

    Options m_options;
    absl::flat_hash_map<std::string, std::unique_ptr<RetryBudget>> m_budgets;
};

} // namespace almondmill
