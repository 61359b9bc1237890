#include "almondmill/endpoint/proberchoice.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

struct Weighed
{
    std::uint64_t weight = 0;
    const Member *member = nullptr;
};

std::vector<Weighed> weigh(std::uint64_t endpointHash, const std::string &dataCentre,
                           const std::vector<Member> &members)
{
    std::vector<Weighed> weighed;
    for (const Member &member : members) {
        if (!member.leaving && (dataCentre.empty() || member.dataCentre == dataCentre))
            weighed.push_back({mixHash(hash64(member.address), endpointHash), &member});
    }
    std::sort(weighed.begin(), weighed.end(),
              [](const Weighed &a, const Weighed &b) { return a.weight > b.weight; });
    return weighed;
}

} // namespace

std::optional<ProberPlace> proberPlace(std::uint64_t endpointHash, const std::string &dataCentre,
                                       const std::string &self, const std::vector<Member> &members)
{
    auto weighed = weigh(endpointHash, dataCentre, members);
    if (weighed.empty())
        weighed = weigh(endpointHash, {}, members);
    const std::size_t probers = std::min(ProbersPerEndpoint, weighed.size());
    for (std::size_t rank = 0; rank < probers; ++rank) {
        if (weighed[rank].member->address == self)
            return ProberPlace{rank, probers};
    }
    return std::nullopt;
}

std::chrono::milliseconds untilTurn(std::uint64_t endpointHash, const ProberPlace &place,
                                    WallTime now)
{
    const auto period = StatusInterval * static_cast<int>(place.probers);
    const auto phase = std::chrono::milliseconds(endpointHash % 1000)
                       + StatusInterval * static_cast<int>(place.rank);
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const auto into = (sinceEpoch + period - phase % period) % period;
    return period - into;
}

} // namespace almondmill
