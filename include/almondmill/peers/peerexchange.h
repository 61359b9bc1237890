#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/peermessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace almondmill {

class AsyncStore;
struct ForwardingContext;

/// Tells the other routers what this one knows, and hears them, by datagrams. Routers find each
/// other through the platform's store: each leaves its address there and reads the others' once;
/// who is heard of first is answered from then on. Belongs to the event loop.
class PeerExchange
{
public:
    /// `learned` is called for each message that brought something new.
    using Learned = std::function<void(const PeerMessage &)>;

    PeerExchange(ForwardingContext &context, AsyncStore &store, Learned learned);

    void start();

    /// Tells all routers at once; for news that can't wait for their turn.
    void announce();

private:
    using Address = boost::asio::ip::udp::endpoint;

    struct Peer
    {
        Address address;
        std::uint64_t toldPlacements = 0; ///< Position up to which it was told.
    };

    boost::asio::awaitable<void> findPeers();
    boost::asio::awaitable<bool> registerSelf();
    boost::asio::awaitable<void> receive();
    boost::asio::awaitable<void> tell();
    void take(std::string_view bytes, const Address &from);
    void addPeer(const std::string &name, const Address &address);
    void tellPeer(Peer &peer, PeerMessage message);
    PeerMessage describe(SteadyTime now);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Learned m_learned;
    boost::asio::ip::udp::socket m_socket;
    const std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::vector<std::string> m_order; ///< Names of peers in the order of telling.
    std::size_t m_next = 0;           ///< In that order.
    absl::flat_hash_map<std::string, Peer> m_peers;
};

} // namespace almondmill
