#pragma once

#include "almondmill/admission/retryreason.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
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

    /// Raises the number of routers that share the budgets; a lower number has no effect. What was
    /// spent stays spent.
    void setRouters(std::uint32_t routers);

    void requestStarted(const std::string &service, SteadyTime now);

    /// Whether `take` would succeed.
    bool canTake(const std::string &service, SteadyTime now,
                 RetryReason reason = RetryReason::Failure);

    /// Takes one retry out of the service's budget; false when the budget for that reason is
    /// exhausted.
    bool take(const std::string &service, SteadyTime now,
              RetryReason reason = RetryReason::Failure);

private:
    /// The budget of a service, with what was left of it when the number of routers rose.
    struct Entry
    {
        std::unique_ptr<RetryBudget> budget; ///< Null until it is used with the present share.
        std::optional<double> left;
    };

    RetryBudget &budgetOf(const std::string &service, SteadyTime now);

    Options m_options;
    absl::flat_hash_map<std::string, Entry> m_budgets;
};

} // namespace almondmill
