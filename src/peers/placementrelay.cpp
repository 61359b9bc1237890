#include "almondmill/peers/placementrelay.h"

#include <nlohmann/json.hpp>

#include <bit>

namespace almondmill {

namespace {

using nlohmann::json;

/// Of the layout; differs from that of the routers' other messages.
constexpr std::uint32_t LayoutVersion = 201;

/// Placements that wait: some seconds of a fleet's; the oldest give way, as they are worth least.
constexpr std::size_t MostWaiting = 1000;

/// Part, endpoint, whether it is saved, directions.
constexpr std::size_t FieldsPerPlacement = 4;

std::uint32_t allDirections(std::size_t routers)
{
    return (1U << PlacementRelay::directionCount(routers)) - 1;
}

} // namespace

unsigned PlacementRelay::directionCount(std::size_t routers)
{
    return routers < 2 ? 0 : static_cast<unsigned>(std::bit_width(routers - 1));
}

std::size_t PlacementRelay::target(std::size_t place, unsigned direction, std::size_t routers)
{
    return (place + (std::size_t(1) << direction)) % routers;
}

void PlacementRelay::add(const PartPlacement &placement, std::size_t routers)
{
    push({placement, allDirections(routers)});
}

void PlacementRelay::relay(const RelayedPlacement &relayed)
{
    push(relayed);
}

std::vector<RelayedPlacement> PlacementRelay::take(unsigned direction, std::size_t most)
{
    const std::uint32_t bit = 1U << direction;
    std::vector<RelayedPlacement> taken;
    for (RelayedPlacement &waiting : m_waiting) {
        if (taken.size() == most)
            break;
        if ((waiting.directions & bit) == 0)
            continue;
        waiting.directions &= ~bit;
        taken.push_back(waiting);
    }
    std::erase_if(m_waiting,
                  [](const RelayedPlacement &waiting) { return waiting.directions == 0; });
    return taken;
}

void PlacementRelay::push(const RelayedPlacement &relayed)
{
    if (relayed.directions == 0)
        return;
    if (m_waiting.size() == MostWaiting)
        m_waiting.pop_front();
    m_waiting.push_back(relayed);
}

std::string encodePlacements(const std::vector<RelayedPlacement> &placements)
{
    json fields = json::array({LayoutVersion});
    for (const RelayedPlacement &relayed : placements) {
        fields.push_back(relayed.placement.part);
        fields.push_back(relayed.placement.endpoint);
        fields.push_back(relayed.placement.saved);
        fields.push_back(relayed.directions);
    }
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<std::vector<RelayedPlacement>> decodePlacements(std::string_view bytes)
{
    const json fields = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!fields.is_array() || fields.empty() || fields.front() != LayoutVersion)
        return std::nullopt;
    std::vector<RelayedPlacement> placements;
    try {
        for (std::size_t at = 1; at + FieldsPerPlacement <= fields.size(); at += FieldsPerPlacement)
            placements.push_back({{fields[at].get<PartKey>(), fields[at + 1].get<std::uint32_t>(),
                                   fields[at + 2].get<bool>()},
                                  fields[at + 3].get<std::uint32_t>()});
    } catch (const json::exception &) {
        return std::nullopt; // The caller counts messages that can't be read.
    }
    return placements;
}

} // namespace almondmill
