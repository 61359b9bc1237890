#include "almondmill/placement/prefixowners.h"

#include "almondmill/config/configuration.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <vector>

namespace almondmill {

namespace {

/// Data centres of the named one's region; empty when the inventory does not list it.
std::vector<std::string_view> regionOf(std::string_view dataCentre, const Inventory &inventory)
{
    const auto own = std::find_if(inventory.dataCentres.begin(), inventory.dataCentres.end(),
                                  [&](const DataCentre &item) { return item.name == dataCentre; });
    std::vector<std::string_view> region;
    if (own == inventory.dataCentres.end())
        return region;
    for (const DataCentre &item : inventory.dataCentres) {
        if (item.region == own->region)
            region.emplace_back(item.name);
    }
    return region;
}

} // namespace

std::string prefixOwner(std::uint64_t key, const MemberView &members,
                        const Configuration &configuration, std::string_view dataCentre)
{
    const auto region = regionOf(dataCentre, configuration.inventory());
    const auto view = members.members();
    const Member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const Member &member : *view) {
        const bool isInRegion =
                region.empty()
                || std::find(region.begin(), region.end(), member.dataCentre) != region.end();
        if (!isInRegion || member.leaving)
            continue;
        const std::uint64_t weight = mixHash(hash64(member.address), key);
        if (best && weight <= bestWeight)
            continue;
        best = &member;
        bestWeight = weight;
    }
    return best ? best->address : std::string();
}

} // namespace almondmill
