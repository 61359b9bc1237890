#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/endpointload.h"
#include "almondmill/peers/peermessage.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// What the other routers told last. Belongs to the event loop.
class PeerViews
{
public:
    /// Takes a message over; says whether it is newer than what was known of its sender.
    bool learn(const PeerMessage &message, SteadyTime now);

    /// Takes over which engines a router has loading.
    void learnLoading(const std::string &sender, const std::vector<PeerMessage::Loading> &loading,
                      SteadyTime now);

    /// The load that the other routers put on an endpoint; where only some of them were heard of
    /// lately, theirs stands for the rest too.
    EndpointLoad loadOn(std::uint32_t endpoint) const;

    /// Whether a router said that the endpoint is loading weights at `now`.
    bool isLoading(std::uint32_t endpoint, SteadyTime now) const;

    /// Routers heard of lately.
    std::size_t liveCount() const { return m_peers.size(); }

    /// All routers, this one included, as of the last refresh.
    std::size_t routerCount() const { return m_routers; }

    /// The two live routers, `self` included, that come first in an order that is the same at all.
    std::vector<std::string> firstInLine(const std::string &self) const;

    /// Forgets routers that have been silent for long and sums up the rest, of `known` others in
    /// all.
    void refresh(SteadyTime now, std::size_t known);

private:
    struct Peer
    {
        PeerMessage message;
        SteadyTime heardAt;
    };

    void gatherLoading();

    std::size_t m_routers = 1;
    absl::flat_hash_map<std::string, Peer> m_peers;
    absl::flat_hash_map<std::uint32_t, EndpointLoad> m_loads; ///< Sums over all peers.
    absl::flat_hash_map<std::uint32_t, SteadyTime> m_loadingUntil;
};

} // namespace almondmill
