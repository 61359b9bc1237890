#include "almondmill/peers/keyowners.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <limits>

namespace almondmill {

namespace {

/// Time for which a router that did not answer is not asked again; doubled each time.
constexpr std::chrono::milliseconds FirstBackoff{3000};
constexpr std::chrono::milliseconds LongestBackoff{24000};

} // namespace

void KeyOwners::addRouter(const std::string &name)
{
    m_routers.push_back({hash64(name), name});
}

std::array<std::string, KeyOwners::OwnersPerKey> KeyOwners::ownersOf(std::uint64_t key) const
{
    const Router *first = nullptr;
    const Router *second = nullptr;
    std::uint64_t firstRank = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t secondRank = firstRank;
    for (const Router &router : m_routers) {
        if (m_leaving.contains(router.name))
            continue;
        const std::uint64_t rank = mixHash(key, router.hash);
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

std::optional<std::string> KeyOwners::ownerToAsk(std::uint64_t key, SteadyTime now) const
{
    for (const std::string &owner : ownersOf(key)) {
        const auto unanswered = m_unanswered.find(owner);
        const bool isAvoided =
                unanswered != m_unanswered.end() && now < unanswered->second.askAgainAt;
        if (!owner.empty() && !isAvoided)
            return owner;
    }
    return std::nullopt;
}

void KeyOwners::recordUnanswered(const std::string &name, SteadyTime now)
{
    Unanswered &unanswered = m_unanswered[name];
    unanswered.backoff = std::clamp(2 * unanswered.backoff, FirstBackoff, LongestBackoff);
    unanswered.askAgainAt = now + unanswered.backoff;
}

void KeyOwners::recordMessage(const std::string &name, bool isLeaving)
{
    m_unanswered.erase(name);
    if (isLeaving)
        m_leaving.insert(name);
    else
        m_leaving.erase(name);
}

} // namespace almondmill
