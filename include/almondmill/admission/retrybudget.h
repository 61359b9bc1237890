#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <mutex>

namespace almondmill {

/// Bounds the retries of a router to a share of its recent requests, with a small rate that is
/// always allowed, so that failing endpoints do not multiply the load. Safe from several threads;
/// each call takes constant time.
class RetryBudget
{
public:
    struct Options
    {
        double share = 0.1;         ///< Retries for each request.
        double alwaysPerSecond = 1; ///< Retries a second allowed without any requests.
        double most = 20;           ///< Retries that may be saved up.
    };

    RetryBudget(const Options &options, SteadyTime now);

    /// Retries that could be taken at once.
    double available() const;

    void requestStarted(SteadyTime now);

    /// Takes one retry out of the budget; false when it is used up.
    bool take(SteadyTime now);

private:
    void refill(SteadyTime now);

    const Options m_options;
    mutable std::mutex m_mutex;
    double m_available;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
