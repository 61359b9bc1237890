#pragma once

#include "almondmill/kernel/time.h"

#include <optional>

namespace almondmill {

/// What one answer of an endpoint stated about its rate limit, and when. Times are of the boot
/// clock, which continues while the VM is suspended.
struct RateLimitStatement
{
    std::optional<double> perSecond; ///< Requests of all routers; empty when there is no limit.
    SteadyTime askedAt;              ///< When the answered request was sent.
    SteadyTime heardAt;              ///< When the answer arrived.
};

/// How a statement changed what is known of a rate limit.
enum class RateLimitChange {
    None,
    Began,
    Changed, ///< To another rate.
    Ended,
};

/// Name of the change in logs, such as "began".
const char *nameOf(RateLimitChange change);

/// The rate limit of one incarnation of an endpoint, from statements that may arrive in another
/// order than the endpoint made them. The endpoint made a statement between `askedAt` and
/// `heardAt`. A statement that lowers the limit applies unless it is certainly older than the one
/// in force; one that raises or ends it applies only if it is certainly newer.
class StatedRateLimit
{
public:
    RateLimitChange record(const RateLimitStatement &statement);

    /// Requests per second of all routers; empty while there is no limit.
    std::optional<double> perSecond() const;

    /// The statement in force; empty while no limit has ever been stated.
    const std::optional<RateLimitStatement> &statement() const { return m_statement; }

private:
    std::optional<RateLimitStatement> m_statement;
};

} // namespace almondmill
