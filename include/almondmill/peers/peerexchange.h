#pragma once

#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/broadcastpositions.h"
#include "almondmill/peers/pacegossip.h"
#include "almondmill/peers/peerdiscovery.h"
#include "almondmill/peers/peermessage.h"
#include "almondmill/peers/peertraffic.h"
#include "almondmill/peers/ratelimitgossip.h"
#include "almondmill/peers/storeupdate.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondmill {

class AsyncStore;
class TrafficSums;
struct ForwardingContext;
struct BroadcastPlacement;
struct PartEvidenceMessage;
struct PermitReply;
struct RegisteredPeer;

/// Exchanges state with the other routers over UDP. Routers discover each other through the
/// platform's store: each registers its address there and lists the others' once. A router whose
/// datagram arrives before it was listed is added as a peer too. Must be used on the event loop
/// only.
class PeerExchange
{
public:
    /// Handlers are called for each message that is newer than the last one of its sender, and for
    /// each received placement.
    using MessageHandler = std::function<void(const PeerMessage &)>;
    using StoreUpdateHandler = std::function<void(const StoreUpdate &)>;
    using PlacementHandler = std::function<void(const PartPlacement &)>;

    PeerExchange(ForwardingContext &context, AsyncStore &store, TrafficSums &traffic,
                 MessageHandler onMessage, StoreUpdateHandler onStoreUpdate,
                 PlacementHandler onPlacement);

    void start();

    /// Sends this router's state to all peers immediately, without waiting for the next periodic
    /// rounds.
    void announce();

    /// Broadcasts what this router read from the store. Without registrations, the update carries
    /// only the configuration version, the weights versions and the engines that are loading.
    void publish(std::optional<StoreUpdate::Registrations> registrations);

    /// Schedules a `publish` without registrations after a short delay, so that several changes are
    /// sent in one update.
    void publishSoon();

private:
    using Address = boost::asio::ip::udp::endpoint;

    /// Adds the routers that are registered in the store; announces this one when any is new.
    void addPeers(const std::vector<RegisteredPeer> &peers);
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> sendState();
    boost::asio::awaitable<void> forwardPlacements();
    void forwardInDirection(unsigned direction);
    boost::asio::awaitable<void> publishAfterDelay();
    void handleDatagram(std::string_view bytes, const Address &from);
    void handleMessage(const PeerMessage &message, const Address &from, SteadyTime now);
    /// Records the sender's incarnation. Returns whether another or none was known.
    bool isNewIncarnation(const PeerMessage &message);
    /// Sends the evidence against prompt parts and the rate limits to a router that has just
    /// started.
    void informNewRouter(const Address &router, SteadyTime now);
    void handlePermitReply(const PermitReply &reply, const Address &issuer);
    void handlePermitDatagram(std::string_view bytes, const Address &from);
    std::size_t peersPerRound() const;
    void handleStoreUpdate(const StoreUpdate &update, std::string_view bytes, SteadyTime now);
    void handlePartEvidence(const PartEvidenceMessage &message, std::string_view bytes,
                            SteadyTime now);
    /// Broadcasts new evidence against prompt parts after a short delay, so that all requests at
    /// one crash are sent together.
    void publishEvidenceSoon();
    boost::asio::awaitable<void> publishEvidenceAfterDelay();
    void publishEvidence();
    /// Evidence to repeat to the peers of a round; empty when there is none.
    std::string describeRepeats(SteadyTime now);
    void handlePlacements(const std::vector<BroadcastPlacement> &placements);
    void forwardToChildren(const std::string &origin, std::string_view bytes);
    std::vector<PeerMessage::Weights> describeWeights(SteadyTime now) const;
    std::vector<PeerMessage::LoadingEngine> describeLoading(SteadyTime now) const;
    std::vector<PeerMessage::Service> describeServices(SteadyTime now) const;
    std::vector<PeerMessage::EndpointSpeed> describeSpeeds(SteadyTime now) const;
    void sendTo(const Address &address, std::string_view bytes);
    void recordTraffic(PeerTraffic::Direction direction, std::string_view bytes,
                       const Address &peer);
    void sendTo(const std::string &router, std::string_view bytes);
    void addPeer(const std::string &name, const Address &address);
    PeerMessage describeState(SteadyTime now);

    ForwardingContext &m_context;
    PeerDiscovery m_discovery;
    MessageHandler m_onMessage;
    StoreUpdateHandler m_onStoreUpdate;
    PlacementHandler m_onPlacement;
    boost::asio::ip::udp::socket m_socket;
    const std::uint64_t m_incarnation;
    RateLimitGossip m_rateLimits;
    PeerTraffic m_traffic;
    PaceGossip m_paces;
    std::uint64_t m_sequence = 0;
    bool m_publishScheduled = false;
    BroadcastPositions m_lastUpdates;
    bool m_evidenceScheduled = false;
    BroadcastPositions m_lastEvidence;
    absl::flat_hash_map<std::string, std::uint64_t> m_incarnations; ///< Of the peers, by name.
    std::size_t m_toldInRound = 0;         ///< New routers informed since the last round.
    std::vector<std::string> m_roundRobin; ///< Peer names in round-robin order.
    std::size_t m_nextPeer = 0;            ///< Index into `m_roundRobin`.
    absl::flat_hash_map<std::string, Address> m_peers;
    std::vector<std::string> m_ring; ///< Sorted names of all routers, including this one.
};

} // namespace almondmill
