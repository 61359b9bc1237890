#include "almondmill/peers/peertraffic.h"

#include "almondmill/metrics/metrics.h"
#include "almondmill/metrics/trafficsums.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace almondmill {

PeerTraffic::PeerTraffic(std::string dataCentre, Metrics &metrics, TrafficSums &sums)
    : m_dataCentre(std::move(dataCentre))
    , m_metrics(metrics)
    , m_sums(sums)
{}

void PeerTraffic::learnDataCentre(const Address &address, const std::string &dataCentre)
{
    // Routers of an earlier release do not register their data centre.
    if (!dataCentre.empty())
        m_places[address] = dataCentre == m_dataCentre ? Place::Local : Place::Remote;
}

void PeerTraffic::record(Direction direction, PeerMessageKind kind, std::size_t bytes,
                         const Address &peer)
{
    const Place place = placeOf(peer);
    const Series &series = seriesOf(kind, direction, place);
    series.messages->add();
    series.bytes->add(bytes);
    const char *prefix = direction == Direction::Sent ? "" : "in_";
    m_sums.add(absl::StrCat(prefix, nameOf(kind)), bytes, place == Place::Remote);
}

PeerTraffic::Place PeerTraffic::placeOf(const Address &peer) const
{
    const auto found = m_places.find(peer);
    return found == m_places.end() ? Place::Unknown : found->second;
}

PeerTraffic::Series &PeerTraffic::seriesOf(PeerMessageKind kind, Direction direction, Place place)
{
    const std::size_t index =
            (static_cast<std::size_t>(kind) * DirectionCount + static_cast<std::size_t>(direction))
                    * PlaceCount
            + static_cast<std::size_t>(place);
    Series &series = m_series.at(index);
    if (series.messages)
        return series;
    const char *remote = place == Place::Unknown  ? "unknown"
                         : place == Place::Remote ? "true"
                                                  : "false";
    const std::string labels = absl::StrCat("kind=\"", nameOf(kind), "\",direction=\"",
                                            direction == Direction::Sent ? "sent" : "received",
                                            "\",remote=\"", remote, "\"");
    series.messages = &m_metrics.counter("almondmill_peer_messages_total", labels);
    series.bytes = &m_metrics.counter("almondmill_peer_bytes_total", labels);
    return series;
}

} // namespace almondmill
