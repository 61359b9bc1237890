#include "almondmill/peers/placementbroadcastqueue.h"

#include "decodemessage.h"
#include "layoutversions.h"

#include <nlohmann/json.hpp>

#include <bit>

namespace almondmill {

namespace {

using nlohmann::json;

/// Queue bound: the placements of a fleet in a few seconds. When it is reached, the oldest is
/// dropped, as the oldest are of the least use.
constexpr std::size_t MaxQueued = 1000;

/// Prompt part, endpoint, saved flag, remaining directions.
constexpr std::size_t FieldsPerPlacement = 4;

std::uint32_t allDirections(std::size_t routers)
{
    return (1U << PlacementBroadcastQueue::directionCount(routers)) - 1;
}

} // namespace

unsigned PlacementBroadcastQueue::directionCount(std::size_t routers)
{
    return routers < 2 ? 0 : static_cast<unsigned>(std::bit_width(routers - 1));
}

std::size_t PlacementBroadcastQueue::target(std::size_t position, unsigned direction,
                                            std::size_t routers)
{
    return (position + (std::size_t(1) << direction)) % routers;
}

void PlacementBroadcastQueue::add(const PartPlacement &placement, std::size_t routers)
{
    push({placement, allDirections(routers)});
}

void PlacementBroadcastQueue::enqueueReceived(const BroadcastPlacement &entry)
{
    push(entry);
}

std::vector<BroadcastPlacement> PlacementBroadcastQueue::take(unsigned direction, std::size_t limit)
{
    const std::uint32_t bit = 1U << direction;
    std::vector<BroadcastPlacement> taken;
    for (BroadcastPlacement &queued : m_queue) {
        if (taken.size() == limit)
            break;
        if ((queued.directions & bit) == 0)
            continue;
        queued.directions &= ~bit;
        taken.push_back(queued);
    }
    std::erase_if(m_queue, [](const BroadcastPlacement &queued) { return queued.directions == 0; });
    return taken;
}

void PlacementBroadcastQueue::push(const BroadcastPlacement &entry)
{
    if (entry.directions == 0)
        return;
    if (m_queue.size() == MaxQueued)
        m_queue.pop_front();
    m_queue.push_back(entry);
}

std::string encodePlacements(const std::vector<BroadcastPlacement> &placements)
{
    json fields = json::array({layout::Placement});
    for (const BroadcastPlacement &entry : placements) {
        fields.push_back(entry.placement.part);
        fields.push_back(entry.placement.endpoint);
        fields.push_back(entry.placement.saved);
        fields.push_back(entry.directions);
    }
    std::string bytes;
    json::to_cbor(fields, bytes);
    return bytes;
}

std::optional<std::vector<BroadcastPlacement>> decodePlacements(std::string_view bytes)
{
    return decodeMessage(bytes, layout::Placement, [](const json &fields) {
        std::vector<BroadcastPlacement> placements;
        for (std::size_t at = 1; at + FieldsPerPlacement <= fields.size(); at += FieldsPerPlacement)
            placements.push_back({{fields[at].get<PartKey>(), fields[at + 1].get<std::uint32_t>(),
                                   fields[at + 2].get<bool>()},
                                  fields[at + 3].get<std::uint32_t>()});
        return placements;
    });
}

} // namespace almondmill
