#include "almondmill/kernel/hash.h"
#include "almondmill/placement/ownerpolicy.h"
#include "almondmill/placement/prefixkeys.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <tuple>

namespace almondmill {

namespace {

constexpr std::size_t BlockBytes = 8;
constexpr std::size_t Engines = 4;

/// Full identity of a cached prefix, without hashes; used by the reference model.
struct CachedPrefixIdentity
{
    std::size_t engine;
    std::uint64_t incarnation;
    std::string account;
    std::string weights;
    std::string prefix;
    bool operator<(const CachedPrefixIdentity &other) const
    {
        return std::tie(engine, incarnation, account, weights, prefix) < std::tie(
                       other.engine, other.incarnation, other.account, other.weights, other.prefix);
    }
};

/// An outcome that is delivered some time after its request was placed, or never.
struct DelayedOutcome
{
    std::vector<std::uint64_t> keys;
    PlacementOutcome outcome;
    CachedPrefixIdentity identity;
};

std::string drawPrompt()
{
    const auto history = *rc::gen::inRange(0, 3);
    return "commonin" + std::string(BlockBytes, static_cast<char>('a' + history)) + "case-one";
}

class IsolationModel
{
public:
    IsolationModel()
    {
        for (std::size_t i = 0; i < Engines; ++i)
            m_fleet.push_back({hash64("e" + std::to_string(i)), 1});
    }

    void step(SteadyTime now)
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            restart();
            return;
        case 1:
            m_weights = "w" + std::to_string(*rc::gen::inRange(0, 3));
            return;
        case 2:
            deliver(now);
            return;
        default:
            request(now);
        }
    }

private:
    void restart() { ++m_fleet[*rc::gen::inRange<std::size_t>(0, Engines)].incarnation; }

    /// Delayed outcomes are delivered in any order, or are lost.
    void deliver(SteadyTime now)
    {
        if (m_delayed.empty())
            return;
        const auto index = *rc::gen::inRange<std::size_t>(0, m_delayed.size());
        const DelayedOutcome delayed = m_delayed[index];
        m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(index));
        if (*rc::gen::arbitrary<bool>())
            return;
        m_policy.observe({delayed.keys, 1, Priority::High}, delayed.outcome, now);
        recordAll(delayed.identity);
    }

    void request(SteadyTime now)
    {
        const std::string account = *rc::gen::element<std::string>("reeds", "herds");
        const std::string prompt = drawPrompt();
        const auto keys = prefixKeys({account, "model", m_weights}, prompt, BlockBytes);
        for (Candidate &candidate : m_fleet)
            candidate.queueDelay = std::chrono::microseconds(*rc::gen::inRange(0, 1000000));
        const auto choice = m_policy.choose({keys, 2, Priority::High}, m_fleet, now);
        RC_ASSERT(choice.has_value());
        const Candidate &chosen = m_fleet[choice->index];
        CachedPrefixIdentity identity{choice->index, chosen.incarnation, account, m_weights,
                                      prompt};
        checkExpectedBlocksAreCached(*choice, identity);
        recordAll(identity);
        m_delayed.push_back({keys, {chosen.nameHash, chosen.incarnation, 0, 0}, identity});
    }

    void checkExpectedBlocksAreCached(const PlacementChoice &choice,
                                      CachedPrefixIdentity identity) const
    {
        const std::string prompt = identity.prefix;
        for (std::uint32_t block = 1; block <= choice.cachedBlocks; ++block) {
            identity.prefix = prompt.substr(0, block * BlockBytes);
            RC_ASSERT(m_cached.count(identity) == 1U);
        }
    }

    void recordAll(CachedPrefixIdentity identity)
    {
        const std::string prompt = identity.prefix;
        for (std::size_t end = BlockBytes; end <= prompt.size(); end += BlockBytes) {
            identity.prefix = prompt.substr(0, end);
            m_cached.insert(identity);
        }
    }

    OwnerPolicy m_policy;
    std::vector<Candidate> m_fleet;
    std::string m_weights = "w0";
    std::vector<DelayedOutcome> m_delayed;
    std::set<CachedPrefixIdentity> m_cached;
};

} // namespace

RC_GTEST_PROP(IsolationProperty, NoDecisionUsesAnEndedIncarnationAnotherAccountOrOtherWeights, ())
{
    IsolationModel model;
    SteadyTime now(std::chrono::hours(1));
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        model.step(now);
    }
}

RC_GTEST_PROP(IsolationProperty, DifferentScopesHaveDifferentKeys, ())
{
    const auto prompt = *rc::gen::container<std::string>(rc::gen::inRange('a', 'e'));
    const auto names = *rc::gen::container<std::vector<std::string>>(
            6, rc::gen::element<std::string>("a", "b", "ab", "ba", ""));
    const PrefixScope one{names[0], names[1], names[2]};
    const PrefixScope two{names[3], names[4], names[5]};
    const bool same = one.clientAccount == two.clientAccount && one.model == two.model
                      && one.weights == two.weights;
    const auto oneKeys = prefixKeys(one, prompt, 2);
    const auto twoKeys = prefixKeys(two, prompt, 2);
    if (same)
        RC_ASSERT(oneKeys == twoKeys);
    else
        for (const std::uint64_t key : oneKeys)
            RC_ASSERT(std::count(twoKeys.begin(), twoKeys.end(), key) == 0);
}

} // namespace almondmill
