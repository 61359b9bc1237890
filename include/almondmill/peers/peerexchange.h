#pragma once

#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/peermessage.h"
#include "almondmill/peers/storenews.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondmill {

class AsyncStore;
class Counter;
struct ForwardingContext;
struct RelayedPlacement;

/// Tells the other routers what this one knows, and hears them, by datagrams. Routers find each
/// other through the platform's store: each leaves its address there and reads the others' once;
/// who is heard of first is answered from then on. Belongs to the event loop.
class PeerExchange
{
public:
    /// The functions are called for each message that brought something new.
    using Learned = std::function<void(const PeerMessage &)>;
    using NewsLearned = std::function<void(const StoreNews &)>;
    using PlacementLearned = std::function<void(const PartPlacement &)>;

    PeerExchange(ForwardingContext &context, AsyncStore &store, Learned learned,
                 NewsLearned newsLearned, PlacementLearned placementLearned);

    void start();

    /// Tells all routers at once; for what can't wait for their turn.
    void announce();

    /// Passes on to all routers what this one read from the store; without registrations it tells
    /// only versions and engines that load.
    void publish(std::optional<StoreNews::Registrations> registrations);

    /// The same without registrations, a moment later, so that several changes go together.
    void publishSoon();

private:
    using Address = boost::asio::ip::udp::endpoint;

    struct NewsPosition
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    boost::asio::awaitable<void> findPeers();
    boost::asio::awaitable<bool> registerSelf();
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> tell();
    boost::asio::awaitable<void> relayPlacements();
    void relayInDirection(unsigned direction);
    boost::asio::awaitable<void> publishLater();
    void take(std::string_view bytes, const Address &from);
    void takeNews(const StoreNews &news, std::string_view bytes);
    void takePlacements(const std::vector<RelayedPlacement> &placements);
    void passOn(const std::string &origin, std::string_view bytes);
    std::vector<PeerMessage::Weights> describeWeights(SteadyTime now) const;
    std::vector<PeerMessage::Loading> describeLoading(SteadyTime now) const;
    void sendTo(const Address &address, std::string_view bytes);
    void addPeer(const std::string &name, const Address &address);
    PeerMessage describe(SteadyTime now);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Learned m_learned;
    NewsLearned m_newsLearned;
    PlacementLearned m_placementLearned;
    boost::asio::ip::udp::socket m_socket;
    const std::uint64_t m_incarnation;
    Counter &m_bytesSent;
    std::uint64_t m_sequence = 0;
    bool m_publishesSoon = false;
    absl::flat_hash_map<std::string, NewsPosition> m_news; ///< Last of each origin.
    std::vector<std::string> m_order; ///< Names of peers in the order of telling.
    std::size_t m_next = 0;           ///< In that order.
    absl::flat_hash_map<std::string, Address> m_peers;
    std::vector<std::string> m_ring; ///< Names of all routers in order, this one included.
};

} // namespace almondmill
