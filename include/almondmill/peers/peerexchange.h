#pragma once

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

/// Tells the other routers what this one knows, and hears them, by datagrams. Routers find each
/// other through the platform's store: each leaves its address there and reads the others' once;
/// who is heard of first is answered from then on. Belongs to the event loop.
class PeerExchange
{
public:
    /// `learned` and `newsLearned` are called for each message that brought something new.
    using Learned = std::function<void(const PeerMessage &)>;
    using NewsLearned = std::function<void(const StoreNews &)>;

    PeerExchange(ForwardingContext &context, AsyncStore &store, Learned learned,
                 NewsLearned newsLearned);

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

    struct Peer
    {
        Address address;
        std::uint64_t toldPlacements = 0; ///< Position up to which it was told.
    };

    struct NewsPosition
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    boost::asio::awaitable<void> findPeers();
    boost::asio::awaitable<bool> registerSelf();
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> tell();
    boost::asio::awaitable<void> publishLater();
    void take(std::string_view bytes, const Address &from);
    void takeNews(const StoreNews &news, std::string_view bytes);
    void passOn(const std::string &origin, std::string_view bytes);
    std::vector<PeerMessage::Weights> describeWeights(SteadyTime now) const;
    std::vector<PeerMessage::Loading> describeLoading(SteadyTime now) const;
    void sendTo(const Address &address, std::string_view bytes);
    void addPeer(const std::string &name, const Address &address);
    void tellPeer(Peer &peer, PeerMessage message);
    PeerMessage describe(SteadyTime now);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Learned m_learned;
    NewsLearned m_newsLearned;
    boost::asio::ip::udp::socket m_socket;
    const std::uint64_t m_incarnation;
    Counter &m_bytesSent;
    std::uint64_t m_sequence = 0;
    bool m_publishesSoon = false;
    absl::flat_hash_map<std::string, NewsPosition> m_news; ///< Last of each origin.
    std::vector<std::string> m_order; ///< Names of peers in the order of telling.
    std::size_t m_next = 0;           ///< In that order.
    absl::flat_hash_map<std::string, Peer> m_peers;
};

} // namespace almondmill
