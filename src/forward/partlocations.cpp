#include "almondmill/forward/partlocations.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Endpoints cache a part for some tens of seconds under load, so older locations are of no use.
constexpr std::chrono::seconds LocationRetention{40};

/// Time from the end of the computation of a part until it is saved: the transfer of 1.5 GB at
/// 280 Gbit/s takes 43 ms and may have to wait for other transfers.
constexpr std::chrono::milliseconds SaveDuration{100};

/// Bounds the memory; a location takes about 50 bytes.
constexpr std::size_t MaxLocations = 20000;

} // namespace

PartKey partKey(std::string_view cacheScope, std::string_view partId)
{
    return static_cast<PartKey>(mixHash(hash64(cacheScope), hash64(partId)));
}

const PartLocations::Location *PartLocations::find(PartKey part) const
{
    const auto found = m_locations.find(part);
    return found == m_locations.end() ? nullptr : &found->second;
}

void PartLocations::recordPlacement(const PartPlacement &placement, std::uint32_t store,
                                    std::chrono::milliseconds prefillTime, SteadyTime now)
{
    if (m_locations.size() >= MaxLocations)
        evictOld(now);
    Location &location = m_locations[placement.part];
    if (location.current.endpoint != placement.endpoint) {
        const bool returns = location.previous && location.previous->endpoint == placement.endpoint;
        const Holder next =
                returns ? *location.previous : Holder{placement.endpoint, now + prefillTime, now};
        if (location.current.endpoint != 0)
            location.previous = location.current;
        location.current = next;
    }
    location.current.lastUsedAt = now;
    if (placement.saved)
        location.saved = {store, now + prefillTime + SaveDuration};
}

void PartLocations::recordReported(PartKey part, const Location &reported, SteadyTime now)
{
    if (m_locations.size() >= MaxLocations)
        evictOld(now);
    Location &location = m_locations[part];
    if (reported.current.lastUsedAt >= location.current.lastUsedAt)
        location = reported;
}

void PartLocations::evictOld(SteadyTime now)
{
    absl::erase_if(m_locations, [&](const auto &entry) {
        return now - entry.second.current.lastUsedAt > LocationRetention;
    });
    if (m_locations.size() >= MaxLocations)
        m_locations.clear();
}

} // namespace almondmill
