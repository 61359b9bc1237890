#include "almondmill/peers/partowners.h"

#include "almondmill/kernel/hash.h"

#include <limits>

namespace almondmill {

namespace {

/// Time for which a router that did not answer a lookup is not asked again.
constexpr std::chrono::seconds UnansweredBackoff{3};

} // namespace

void PartOwners::addRouter(const std::string &name)
{
    m_routers.push_back({hash64(name), name});
}

std::array<std::string, PartOwners::OwnersPerPart> PartOwners::ownersOf(PartKey part) const
{
    const Router *first = nullptr;
    const Router *second = nullptr;
    std::uint64_t firstRank = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t secondRank = firstRank;
    for (const Router &router : m_routers) {
        const std::uint64_t rank = mixHash(part, router.hash);
        if (!first || rank < firstRank) {
            second = first;
            secondRank = firstRank;
            first = &router;
            firstRank = rank;
        } else if (!second || rank < secondRank) {
            second = &router;
            secondRank = rank;
        }
    }
    return {first ? first->name : std::string(), second ? second->name : std::string()};
}

std::optional<std::string> PartOwners::ownerToAsk(PartKey part, SteadyTime now) const
{
    for (const std::string &owner : ownersOf(part)) {
        const auto unanswered = m_unansweredAt.find(owner);
        const bool isAvoided =
                unanswered != m_unansweredAt.end() && now - unanswered->second < UnansweredBackoff;
        if (!owner.empty() && !isAvoided)
            return owner;
    }
    return std::nullopt;
}

void PartOwners::recordUnanswered(const std::string &name, SteadyTime now)
{
    m_unansweredAt[name] = now;
}

} // namespace almondmill
