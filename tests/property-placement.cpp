#include "almondmill/kernel/hash.h"
#include "almondmill/placement/ownerpolicy.h"
#include "almondmill/placement/rendezvous.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace almondmill {

namespace {

using std::chrono::microseconds;

const SteadyTime Start(std::chrono::hours(1));
constexpr std::chrono::seconds LocationIdleTimeout{8};

std::vector<Candidate> drawFleet()
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 40);
    std::vector<Candidate> fleet;
    for (std::size_t i = 0; i < size; ++i) {
        Candidate candidate;
        candidate.nameHash = hash64("endpoint" + std::to_string(i));
        candidate.incarnation = 1;
        candidate.queueDelay = microseconds(*rc::gen::inRange(0, 2000000));
        candidate.weight = *rc::gen::element(1.0, 1.0, 1.0, 0.5, 0.1);
        fleet.push_back(candidate);
    }
    return fleet;
}

std::vector<std::uint64_t> drawKeys()
{
    const auto prefix = *rc::gen::inRange<std::uint64_t>(1, 6);
    const auto depth = *rc::gen::inRange<std::uint64_t>(1, 8);
    std::vector<std::uint64_t> keys{mixHash(1, 1)};
    for (std::uint64_t i = 1; i < depth; ++i)
        keys.push_back(mixHash(keys.back(), prefix));
    return keys;
}

std::vector<Candidate> shuffled(std::vector<Candidate> fleet)
{
    const auto shift = *rc::gen::inRange<std::size_t>(0, fleet.size());
    std::rotate(fleet.begin(), fleet.begin() + static_cast<std::ptrdiff_t>(shift), fleet.end());
    if (*rc::gen::arbitrary<bool>())
        std::reverse(fleet.begin(), fleet.end());
    return fleet;
}

/// Reference implementation of the owner's decision, with an unbounded map of all placements.
class ReferenceOwner
{
public:
    std::size_t choose(const std::vector<std::uint64_t> &keys, std::size_t level,
                       const std::vector<Candidate> &fleet, SteadyTime now)
    {
        double meanQueue = 0;
        for (const Candidate &candidate : fleet)
            meanQueue += static_cast<double>(candidate.queueDelay.count());
        meanQueue /= static_cast<double>(fleet.size());
        std::size_t best = 0;
        double bestCost = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const double missing =
                    static_cast<double>(keys.size() - cachedBlocks(keys, fleet[i], now));
            const double rank =
                    static_cast<double>(mixHash(fleet[i].nameHash, keys[level - 1]) >> 11U)
                    / 9007199254740992.0;
            const double wait =
                    static_cast<double>((fleet[i].queueDelay + fleet[i].roundTrip).count());
            const double cost =
                    (wait + missing * (1.0 + meanQueue / 150000) * 80000) / fleet[i].weight
                    - 40000 * rank;
            if (i == 0 || cost < bestCost) {
                best = i;
                bestCost = cost;
            }
        }
        for (const std::uint64_t key : keys)
            m_used[{key, fleet[best].nameHash, fleet[best].incarnation}] = now;
        return best;
    }

private:
    struct Placement
    {
        std::uint64_t key;
        std::uint64_t nameHash;
        std::uint64_t incarnation;
        bool operator<(const Placement &other) const
        {
            return std::tie(key, nameHash, incarnation)
                   < std::tie(other.key, other.nameHash, other.incarnation);
        }
    };

    std::size_t cachedBlocks(const std::vector<std::uint64_t> &keys, const Candidate &candidate,
                             SteadyTime now) const
    {
        std::size_t blocks = 0;
        for (const std::uint64_t key : keys) {
            const auto used = m_used.find({key, candidate.nameHash, candidate.incarnation});
            if (used == m_used.end() || used->second + LocationIdleTimeout <= now)
                break;
            ++blocks;
        }
        return blocks;
    }

    std::map<Placement, SteadyTime> m_used;
};

double nameHashOf(const std::vector<Candidate> &fleet, std::size_t index)
{
    return static_cast<double>(fleet[index].nameHash);
}

} // namespace

// The bounded table records at most `GroupSize` locations of a prefix, while the reference records
// all of them; the fleet is limited to that size, so that both must decide the same.
RC_GTEST_PROP(PlacementProperty, TheOwnerDecidesAsTheReferenceDoes, ())
{
    OwnerPolicy policy;
    ReferenceOwner reference;
    SteadyTime now = Start;
    std::vector<Candidate> fleet = drawFleet();
    fleet.resize(std::min<std::size_t>(fleet.size(), CachedLocationTable::GroupSize));
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        Candidate &changed = fleet[*rc::gen::inRange<std::size_t>(0, fleet.size())];
        changed.queueDelay = microseconds(*rc::gen::inRange(0, 2000000));
        changed.incarnation += *rc::gen::element(0U, 0U, 0U, 1U);
        const auto keys = drawKeys();
        const auto level = *rc::gen::inRange<std::size_t>(1, keys.size() + 1);
        const auto choice = policy.choose({keys, level, Priority::High}, fleet, now);
        RC_ASSERT(choice.has_value());
        RC_ASSERT(choice->index == reference.choose(keys, level, fleet, now));
    }
}

RC_GTEST_PROP(PlacementProperty, TwoOwnersWithTheSameInputChooseTheSameInAnyOrder, ())
{
    OwnerPolicy first;
    OwnerPolicy second;
    SteadyTime now = Start;
    const std::vector<Candidate> fleet = drawFleet();
    for (int step = 0; step < 10; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        const auto keys = drawKeys();
        const std::vector<Candidate> other = shuffled(fleet);
        const auto one = first.choose({keys, keys.size(), Priority::High}, fleet, now);
        const auto two = second.choose({keys, keys.size(), Priority::High}, other, now);
        RC_ASSERT(nameHashOf(fleet, one->index) == nameHashOf(other, two->index));
    }
}

RC_GTEST_PROP(PlacementProperty, RendezvousIsIndependentOfTheOrder, ())
{
    const std::vector<Candidate> fleet = drawFleet();
    const std::vector<Candidate> other = shuffled(fleet);
    const auto key = *rc::gen::arbitrary<std::uint64_t>();
    const auto one = rendezvousWithin(key, fleet, loadBound(fleet, 3));
    const auto two = rendezvousWithin(key, other, loadBound(other, 3));
    RC_ASSERT(fleet[*one].nameHash == other[*two].nameHash);
}

RC_GTEST_PROP(PlacementProperty, RemovingAnEndpointMovesOnlyItsOwnKeys, ())
{
    std::vector<Candidate> fleet = drawFleet();
    RC_PRE(fleet.size() > 1U);
    const auto removed = *rc::gen::inRange<std::size_t>(0, fleet.size());
    std::vector<Candidate> rest = fleet;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(removed));
    for (std::uint64_t key = 0; key < 200; ++key) {
        const auto before = *rendezvousWithin(key, fleet, microseconds::max());
        const auto after = *rendezvousWithin(key, rest, microseconds::max());
        if (before != removed)
            RC_ASSERT(fleet[before].nameHash == rest[after].nameHash);
    }
}

RC_GTEST_PROP(PlacementProperty, TheLoadBoundIsRespected, ())
{
    const std::vector<Candidate> fleet = drawFleet();
    const auto blocks = *rc::gen::inRange<std::size_t>(0, 12);
    double total = 0;
    for (const Candidate &candidate : fleet)
        total += static_cast<double>(candidate.queueDelay.count());
    const auto policy = PlacementRegistry::create("rendezvous");
    std::vector<std::uint64_t> keys(blocks, 7);
    const auto choice = policy->choose({keys, blocks, Priority::High}, fleet, Start);
    RC_ASSERT(choice.has_value());
    const double bound = 1.25 * total / static_cast<double>(fleet.size())
                         + 80000.0 * static_cast<double>(std::max<std::size_t>(blocks, 1));
    RC_ASSERT(static_cast<double>(fleet[choice->index].queueDelay.count()) <= bound);
}

RC_GTEST_PROP(PlacementProperty, AnEndpointInSlowStartGetsItsShare, ())
{
    std::vector<Candidate> fleet(4);
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet[i].nameHash = mixHash(seed, i);
    fleet[0].weight = 0.25;
    int won = 0;
    for (std::uint64_t key = 0; key < 6500; ++key)
        won += rendezvousWithin(mixHash(seed, key), fleet, microseconds::max()) == 0U ? 1 : 0;
    // The endpoint gets a quarter of what each of the three others gets: 1 in 13, so 500 of 6500.
    RC_ASSERT(won > 390);
    RC_ASSERT(won < 610);
}

} // namespace almondmill
