#include "almondmill/endpoint/proberchoice.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

struct RankedMember
{
    std::uint64_t weight = 0;
    const Member *member = nullptr;
};

std::vector<RankedMember> rankMembers(std::uint64_t endpointHash, const std::string &dataCentre,
                                      const std::vector<Member> &members)
{
    std::vector<RankedMember> ranked;
    for (const Member &member : members) {
        if (!member.leaving && (dataCentre.empty() || member.dataCentre == dataCentre))
            ranked.push_back({mixHash(hash64(member.address), endpointHash), &member});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const RankedMember &a, const RankedMember &b) { return a.weight > b.weight; });
    return ranked;
}

} // namespace

std::optional<ProberSlot> proberSlot(std::uint64_t endpointHash, const std::string &dataCentre,
                                     const std::string &self, const std::vector<Member> &members)
{
    auto ranked = rankMembers(endpointHash, dataCentre, members);
    if (ranked.empty())
        ranked = rankMembers(endpointHash, {}, members);
    const std::size_t probers = std::min(ProbersPerEndpoint, ranked.size());
    for (std::size_t rank = 0; rank < probers; ++rank) {
        if (ranked[rank].member->address == self)
            return ProberSlot{rank, probers};
    }
    return std::nullopt;
}

std::chrono::milliseconds timeUntilNextSlot(std::uint64_t endpointHash, const ProberSlot &place,
                                            WallTime now)
{
    const auto period = StatusInterval * static_cast<int>(place.probers);
    const auto phase = std::chrono::milliseconds(endpointHash % 1000)
                       + StatusInterval * static_cast<int>(place.rank);
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const auto elapsed = (sinceEpoch + period - phase % period) % period;
    return period - elapsed;
}

} // namespace almondmill
