#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace almondmill {

class RetryBudget;

/// This router's share of the retry budgets that all routers together must keep, one a service.
class RepeatBudgets
{
public:
    struct Options
    {
        double share = 0.2;         ///< Repeats for each request, over all routers.
        std::uint32_t always = 100; ///< Repeats in a window beside the share.
        std::chrono::milliseconds window{10000};
        std::uint32_t routers = 16; ///< That share the budget; never fewer than there are.
    };

    explicit RepeatBudgets(const Options &options);
    ~RepeatBudgets();

    /// Says how many routers share the budgets; fewer than before change nothing.
    void setRouters(std::uint32_t routers);

    void requestStarted(const std::string &service, SteadyTime now);

    /// Takes one repeat out of the service's budget; false when it is used up.
    bool take(const std::string &service, SteadyTime now);

private:
    RetryBudget &budgetOf(const std::string &service, SteadyTime now);

    Options m_options;
    absl::flat_hash_map<std::string, std::unique_ptr<RetryBudget>> m_budgets;
};

} // namespace almondmill
