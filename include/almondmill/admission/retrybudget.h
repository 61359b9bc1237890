#pragma once

#include "almondmill/admission/retryreason.h"
#include "almondmill/kernel/time.h"

#include <mutex>

namespace almondmill {

/// Limits the retries of a router to a ratio of its recent requests, plus a small rate that is
/// always allowed, so that failing endpoints do not multiply the load. A part is reserved for
/// requests whose attempt failed. Thread-safe; each call takes constant time.
class RetryBudget
{
public:
    struct Options
    {
        double share = 0.1;       ///< Retries per request.
        double minPerSecond = 1;  ///< Retries per second, allowed without any requests.
        double maxAvailable = 20; ///< Largest number of retries that can accumulate.
    };

    /// A budget that is full.
    RetryBudget(const Options &options, SteadyTime now);

    /// A budget that takes the place of another one, of which `available` retries are left.
    RetryBudget(const Options &options, SteadyTime now, double available);

    /// Number of retries that can be taken now after failures.
    double available() const;

    void requestStarted(SteadyTime now);

    /// Whether `take` would succeed.
    bool canTake(SteadyTime now, RetryReason reason = RetryReason::Failure);

    /// Takes one retry from the budget; false when the budget for that reason is exhausted.
    bool take(SteadyTime now, RetryReason reason = RetryReason::Failure);

private:
    void refill(SteadyTime now);
    void add(double retries);
    double usable() const;
    bool suffices(RetryReason reason) const;

    const Options m_options;
    const double m_reserve; ///< Retries that are left over for failures.
    mutable std::mutex m_mutex;
    /// What has accumulated. Above `maxAvailable` it only shows that the budget was not needed for
    /// failures; that part cannot be spent.
    double m_accumulated;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
