#pragma once

#include "almondmill/peers/peermessagekind.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <string>

namespace almondmill {

class Counter;
class Metrics;
class TrafficSums;

/// Counts the datagrams exchanged with other routers, and their bytes without the headers of IP and
/// UDP, by kind of message, direction, and whether the peer is in another data centre. Must be used
/// on the event loop only.
class PeerTraffic
{
public:
    using Address = boost::asio::ip::udp::endpoint;

    enum class Direction { Sent, Received };

    PeerTraffic(std::string dataCentre, Metrics &metrics, TrafficSums &sums);

    /// Records where the router at `address` runs.
    void learnDataCentre(const Address &address, const std::string &dataCentre);

    void record(Direction direction, PeerMessageKind kind, std::size_t bytes, const Address &peer);

private:
    /// Where a peer runs in relation to this router. Unknown until it was listed in the store.
    enum class Place { Local, Remote, Unknown };

    static constexpr std::size_t DirectionCount = 2;
    static constexpr std::size_t PlaceCount = 3;

    struct Series
    {
        Counter *messages = nullptr; ///< Null until the first message.
        Counter *bytes = nullptr;
    };

    Place placeOf(const Address &peer) const;
    Series &seriesOf(PeerMessageKind kind, Direction direction, Place place);

    const std::string m_dataCentre;
    Metrics &m_metrics;
    TrafficSums &m_sums;
    std::map<Address, Place> m_places;
    std::array<Series, PeerMessageKindCount * DirectionCount * PlaceCount> m_series;
};

} // namespace almondmill
