#pragma once

#include "almondmill/admission/serviceload.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/endpointload.h"
#include "almondmill/peers/peermessage.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// The last state received from each peer. Must be used on the event loop only.
class PeerViews
{
public:
    /// Stores a message. Returns false, without effect, when it is not newer than the last one of
    /// its sender.
    bool applyMessage(const PeerMessage &message, SteadyTime now);

    /// Stores which engines are loading weights on a router's orders.
    void applyLoading(const std::string &sender,
                      const std::vector<PeerMessage::LoadingEngine> &loading, SteadyTime now);

    /// Load that the live peers place on an endpoint, as of the last refresh.
    EndpointLoad reportedLoadOn(std::uint32_t endpoint) const;

    /// What the live peers saw of a service, by the short hash of its name, and of an endpoint that
    /// differs from it, as of the last refresh.
    ServiceSamples reportedSamplesOf(std::uint32_t service) const;
    EndpointSamples reportedSamplesOn(std::uint32_t endpoint) const;

    /// Requests of the live peers that are open at the endpoints of a service, by level of urgency,
    /// as of the last refresh.
    ServiceLoad::ByLevel reportedOpenByLevel(std::uint32_t service) const;

    /// Number of known peers without a recent message for each one with it, as of the last refresh.
    double silentPeersPerReporter() const { return m_silentPeersPerReporter; }

    /// Whether a router has reported that the endpoint is loading weights at `now`.
    bool isLoading(std::uint32_t endpoint, SteadyTime now) const;

    /// Peers whose last message has not expired as of the last refresh.
    std::size_t liveCount() const { return m_peers.size(); }

    /// Number of all routers, including this one, as of the last refresh.
    std::size_t routerCount() const { return m_routers; }

    /// The two live routers, possibly including `self`, with the lowest name hashes. Routers that
    /// sent a recent store update count as live too: in a large fleet they are the ones that every
    /// router hears, so all routers get the same result.
    std::vector<std::string> leaderCandidates(const std::string &self) const;

    /// Drops peers whose last message has expired and recomputes the load sums; `known` is the
    /// number of all known peers, live or not.
    void refresh(SteadyTime now, std::size_t known);

private:
    struct Peer
    {
        PeerMessage message;
        SteadyTime receivedAt;
    };

    /// Which engines load weights on a router's orders. It is kept apart from the router's view,
    /// because updates carry it also from routers that have left or sent no message here.
    struct LoadingReport
    {
        std::vector<PeerMessage::LoadingEngine> engines;
        SteadyTime receivedAt;
    };

    void rebuildLoadingDeadlines();

    std::size_t m_routers = 1;
    double m_silentPeersPerReporter = 0;
    absl::flat_hash_map<std::string, Peer> m_peers;
    absl::flat_hash_map<std::string, LoadingReport> m_loadingReports;
    absl::flat_hash_set<std::string> m_departed; ///< Peers that announced that they leave.
    SteadyTime m_refreshedAt;
    absl::flat_hash_map<std::uint32_t, EndpointLoad> m_loads; ///< Sums over the live peers.
    absl::flat_hash_map<std::uint32_t, ServiceSamples> m_serviceSamples;
    absl::flat_hash_map<std::uint32_t, EndpointSamples> m_endpointSamples;
    absl::flat_hash_map<std::uint32_t, ServiceLoad::ByLevel> m_openByLevel;
    absl::flat_hash_map<std::uint32_t, SteadyTime> m_loadingUntil;
};

} // namespace almondmill
