#pragma once

namespace almondmill {

/// What all requests of an account together may use over all routers: one token bucket.
struct AccountQuota
{
    double perSecond = 0;
    double burst = 0;
    bool countsTokens = false;      ///< Otherwise each request counts as one.
    double tokensWithoutPrompt = 0; ///< Charged for a request that states no token count.
};

} // namespace almondmill
