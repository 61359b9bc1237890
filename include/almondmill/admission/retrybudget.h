#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <mutex>

namespace almondmill {

/// Limits the retries of a router to a ratio of its recent requests, plus a small rate that is
/// always allowed, so that failing endpoints do not multiply the load. Thread-safe; each call takes
/// constant time.
class RetryBudget
{
public:
    struct Options
    {
        double share = 0.1;       ///< Retries per request.
        double minPerSecond = 1;  ///< Retries per second, allowed without any requests.
        double maxAvailable = 20; ///< Largest number of retries that can accumulate.
    };

    RetryBudget(const Options &options, SteadyTime now);

    /// Number of retries that can be taken now.
    double available() const;

    void requestStarted(SteadyTime now);

    /// Takes one retry from the budget; false when the budget is exhausted.
    bool take(SteadyTime now);

private:
    void refill(SteadyTime now);

    const Options m_options;
    mutable std::mutex m_mutex;
    double m_available;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
