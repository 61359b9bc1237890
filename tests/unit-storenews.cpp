#include "almondmill/peers/newstree.h"
#include "almondmill/peers/readerturn.h"
#include "almondmill/peers/storenews.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

std::vector<std::string> routers(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("router-" + std::to_string(index));
    return names;
}

} // namespace

RC_GTEST_PROP(NewsTree, ReachesEveryRouterOnce, ())
{
    const auto names = routers(*rc::gen::inRange<std::size_t>(1, 330));
    const std::string origin = names[*rc::gen::inRange<std::size_t>(0, names.size())];
    std::map<std::string, int> copies{{origin, 1}};
    std::deque<std::string> next{origin};
    while (!next.empty()) {
        for (const std::string &child : newsChildren(origin, next.front(), names)) {
            ++copies[child];
            next.push_back(child);
        }
        next.pop_front();
    }
    RC_ASSERT(copies.size() == names.size());
    for (const auto &[name, count] : copies)
        RC_ASSERT(count == 1);
}

TEST(NewsTree, TwoOriginsHaveDifferentTrees)
{
    const auto names = routers(60);
    std::set<std::string> innerOfFirst;
    std::set<std::string> innerOfBoth;
    for (const std::string &name : names) {
        if (!newsChildren(names[0], name, names).empty())
            innerOfFirst.insert(name);
    }
    for (const std::string &name : innerOfFirst) {
        if (!newsChildren(names[1], name, names).empty())
            innerOfBoth.insert(name);
    }
    EXPECT_LT(innerOfBoth.size(), innerOfFirst.size());
}

TEST(ReaderTurn, TwoOfAllRoutersReadOnceTheyHearEachOther)
{
    const auto names = routers(30);
    std::vector<ReaderTurn> turns;
    turns.reserve(names.size());
    for (const std::string &name : names)
        turns.emplace_back(name, seconds(2));
    for (const auto &turn : turns)
        EXPECT_TRUE(turn.isReader(Start));
    std::set<std::size_t> readers;
    for (int round = 0; round < 4; ++round) {
        const SteadyTime now = Start + milliseconds(500) * round;
        readers.clear();
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (turns[index].isReader(now))
                readers.insert(index);
        }
        for (const std::size_t reader : readers) {
            for (auto &turn : turns)
                turn.heard(names[reader], now);
        }
    }
    EXPECT_EQ(readers.size(), 2U);
}

TEST(ReaderTurn, WhoHearsNothingReadsWithinTheTimeThatAnEndpointTakesToLeave)
{
    ReaderTurn turn("router-5", seconds(2));
    for (const std::string &name : routers(30))
        turn.heard(name, Start);
    EXPECT_TRUE(turn.isReader(Start + milliseconds(1600)));
    ReaderTurn hasty("router-5", milliseconds(800));
    for (const std::string &name : routers(30))
        hasty.heard(name, Start);
    EXPECT_TRUE(hasty.isReader(Start + milliseconds(800)));
}

RC_GTEST_PROP(StoreNews, SurvivesItsEncoding, ())
{
    StoreNews news;
    news.origin = "router-1";
    news.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    news.sequence = *rc::gen::arbitrary<std::uint64_t>();
    news.configuration = 7;
    news.weights = {{{"m", 3}, milliseconds(40)}};
    news.loading = {{9, milliseconds(800)}};
    Registration entry;
    entry.id = "i-1";
    entry.startedAt = milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 50));
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.dataCentre = "a";
    entry.slots = 48;
    entry.draining = *rc::gen::arbitrary<bool>();
    entry.models = {{"m", *rc::gen::arbitrary<std::uint32_t>()}};
    news.registrations = StoreNews::Registrations{5, 8, {entry}, {"i-2"}};
    const auto decoded = decodeStoreNews(encodeStoreNews(news));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->sequence == news.sequence);
    RC_ASSERT(decoded->registrations->from == 5U);
    RC_ASSERT(decoded->registrations->gone.front() == "i-2");
    const Registration &copy = decoded->registrations->changed.front();
    RC_ASSERT(copy.startedAt == entry.startedAt && copy.draining == entry.draining);
    RC_ASSERT(copy.address == entry.address && copy.slots == entry.slots);
    RC_ASSERT(copy.models.front().weightsVersion == entry.models.front().weightsVersion);
    RC_ASSERT(!decodePeerMessage(encodeStoreNews(news)).has_value());
}

RC_GTEST_PROP(StoreNews, OtherBytesAreNoNews, (const std::string &bytes))
{
    (void)decodeStoreNews(bytes); // Must not throw or crash.
}

} // namespace almondmill::test
