#pragma once

namespace almondmill {

/// Load that routers put on one endpoint, averaged over about a second.
struct EndpointLoad
{
    double openRequests = 0;
    double unreadTokens = 0; ///< Of prompts that have given no first event yet.
    double heldTokens = 0;   ///< Prompt and output of all open requests, at most.

    EndpointLoad operator*(double factor) const
    {
        return {openRequests * factor, unreadTokens * factor, heldTokens * factor};
    }

    EndpointLoad &operator+=(const EndpointLoad &other)
    {
        openRequests += other.openRequests;
        unreadTokens += other.unreadTokens;
        heldTokens += other.heldTokens;
        return *this;
    }
};

} // namespace almondmill
