#pragma once

namespace almondmill {

/// Load that routers place on one endpoint, averaged over about one second.
struct EndpointLoad
{
    double openRequests = 0;
    double pendingPrefillTokens = 0; ///< Prompt tokens of requests without a first event yet.
    double heldTokens = 0;           ///< Upper bound on prompt and output tokens of open requests.

    EndpointLoad operator*(double factor) const
    {
        return {openRequests * factor, pendingPrefillTokens * factor, heldTokens * factor};
    }

    EndpointLoad &operator+=(const EndpointLoad &other)
    {
        openRequests += other.openRequests;
        pendingPrefillTokens += other.pendingPrefillTokens;
        heldTokens += other.heldTokens;
        return *this;
    }
};

} // namespace almondmill
