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

constexpr std::size_t PieceBytes = 8;
constexpr std::size_t Engines = 4;

/// What an engine's cache truly belongs to, told in full: the naive model.
struct TruePlace
{
    std::size_t engine;
    std::uint64_t incarnation;
    std::string account;
    std::string weights;
    std::string prefix;
    bool operator<(const TruePlace &other) const
    {
        return std::tie(engine, incarnation, account, weights, prefix) < std::tie(
                       other.engine, other.incarnation, other.account, other.weights, other.prefix);
    }
};

/// An answer that arrives later than the request it belongs to, or never.
struct LateOutcome
{
    std::vector<std::uint64_t> keys;
    PlacementOutcome outcome;
    TruePlace place;
};

std::string drawPrompt()
{
    const auto history = *rc::gen::inRange(0, 3);
    return "commonin" + std::string(PieceBytes, static_cast<char>('a' + history)) + "case-one";
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

    /// Late events arrive in any order, or are lost.
    void deliver(SteadyTime now)
    {
        if (m_late.empty())
            return;
        const auto index = *rc::gen::inRange<std::size_t>(0, m_late.size());
        const LateOutcome late = m_late[index];
        m_late.erase(m_late.begin() + static_cast<std::ptrdiff_t>(index));
        if (*rc::gen::arbitrary<bool>())
            return;
        m_policy.observe({late.keys, 1, Priority::High}, late.outcome, now);
        rememberAll(late.place);
    }

    void request(SteadyTime now)
    {
        const std::string account = *rc::gen::element<std::string>("reeds", "herds");
        const std::string prompt = drawPrompt();
        const auto keys = prefixKeys({account, "model", m_weights}, prompt, PieceBytes);
        for (Candidate &candidate : m_fleet)
            candidate.queue = std::chrono::microseconds(*rc::gen::inRange(0, 1000000));
        const auto choice = m_policy.choose({keys, 2, Priority::High}, m_fleet, now);
        RC_ASSERT(choice.has_value());
        const Candidate &chosen = m_fleet[choice->index];
        TruePlace place{choice->index, chosen.incarnation, account, m_weights, prompt};
        checkRestsOnLivingFacts(*choice, place);
        rememberAll(place);
        m_late.push_back({keys, {chosen.nameHash, chosen.incarnation, 0, 0}, place});
    }

    void checkRestsOnLivingFacts(const PlacementChoice &choice, TruePlace place) const
    {
        const std::string prompt = place.prefix;
        for (std::uint32_t block = 1; block <= choice.cachedBlocks; ++block) {
            place.prefix = prompt.substr(0, block * PieceBytes);
            RC_ASSERT(m_true.count(place) == 1U);
        }
    }

    void rememberAll(TruePlace place)
    {
        const std::string prompt = place.prefix;
        for (std::size_t end = PieceBytes; end <= prompt.size(); end += PieceBytes) {
            place.prefix = prompt.substr(0, end);
            m_true.insert(place);
        }
    }

    OwnerPolicy m_policy;
    std::vector<Candidate> m_fleet;
    std::string m_weights = "w0";
    std::vector<LateOutcome> m_late;
    std::set<TruePlace> m_true;
};

} // namespace

RC_GTEST_PROP(IsolationProperty, NoDecisionRestsOnADeadIncarnationAnotherAccountOrOlderWeights, ())
{
    IsolationModel model;
    SteadyTime now(std::chrono::hours(1));
    const auto steps = *rc::gen::inRange(1, 120);
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 500));
        model.step(now);
    }
}

RC_GTEST_PROP(IsolationProperty, KeysOfTwoScopesNeverMeet, ())
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
