#include "almondmill/peers/broadcasttree.h"
#include "almondmill/peers/readerelection.h"
#include "almondmill/peers/storeupdate.h"

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

RC_GTEST_PROP(BroadcastTree, ReachesEveryRouterExactlyOnce, ())
{
    const auto names = routers(*rc::gen::inRange<std::size_t>(1, 330));
    const std::string origin = names[*rc::gen::inRange<std::size_t>(0, names.size())];
    std::map<std::string, int> copies{{origin, 1}};
    std::deque<std::string> next{origin};
    while (!next.empty()) {
        for (const std::string &child : broadcastTreeChildren(origin, next.front(), names)) {
            ++copies[child];
            next.push_back(child);
        }
        next.pop_front();
    }
    RC_ASSERT(copies.size() == names.size());
    for (const auto &[name, count] : copies)
        RC_ASSERT(count == 1);
}

TEST(BroadcastTree, InnerNodesDifferBetweenOrigins)
{
    const auto names = routers(60);
    std::set<std::string> innerNodesOfFirst;
    std::set<std::string> innerNodesOfBoth;
    for (const std::string &name : names) {
        if (!broadcastTreeChildren(names[0], name, names).empty())
            innerNodesOfFirst.insert(name);
    }
    for (const std::string &name : innerNodesOfFirst) {
        if (!broadcastTreeChildren(names[1], name, names).empty())
            innerNodesOfBoth.insert(name);
    }
    EXPECT_LT(innerNodesOfBoth.size(), innerNodesOfFirst.size());
}

TEST(ReaderElection, TwoRoutersRemainReadersAfterUpdatesAreReceived)
{
    const auto names = routers(30);
    std::vector<ReaderElection> elections;
    elections.reserve(names.size());
    for (const std::string &name : names)
        elections.emplace_back(name, seconds(2));
    for (const auto &election : elections)
        EXPECT_TRUE(election.isReader(Start));
    std::set<std::size_t> readers;
    for (int round = 0; round < 4; ++round) {
        const SteadyTime now = Start + milliseconds(500) * round;
        readers.clear();
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (elections[index].isReader(now))
                readers.insert(index);
        }
        for (const std::size_t reader : readers) {
            for (auto &election : elections)
                election.recordUpdate(names[reader], now);
        }
    }
    EXPECT_EQ(readers.size(), 2U);
}

TEST(ReaderElection, BecomesReaderWithinTheDrainDeadlineWhenNoUpdatesArrive)
{
    ReaderElection election("router-5", seconds(2));
    for (const std::string &name : routers(30))
        election.recordUpdate(name, Start);
    EXPECT_TRUE(election.isReader(Start + milliseconds(1600)));
    ReaderElection shortDeadline("router-5", milliseconds(800));
    for (const std::string &name : routers(30))
        shortDeadline.recordUpdate(name, Start);
    EXPECT_TRUE(shortDeadline.isReader(Start + milliseconds(800)));
}

RC_GTEST_PROP(StoreUpdate, RoundTripsThroughEncoding, ())
{
    StoreUpdate update;
    update.origin = "router-1";
    update.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    update.sequence = *rc::gen::arbitrary<std::uint64_t>();
    update.configuration = 7;
    update.weights = {{{"m", 3}, milliseconds(40)}};
    update.loading = {{9, milliseconds(800)}};
    Registration entry;
    entry.id = "i-1";
    entry.startedAt = milliseconds(*rc::gen::inRange<std::int64_t>(0, 1LL << 50));
    entry.service = "s";
    entry.address = "10.0.0.1:80";
    entry.dataCentre = "a";
    entry.slots = 48;
    entry.draining = *rc::gen::arbitrary<bool>();
    entry.models = {{"m", *rc::gen::arbitrary<std::uint32_t>()}};
    entry.revision = *rc::gen::arbitrary<std::uint64_t>();
    update.registrations = StoreUpdate::Registrations{5, 8, {entry}, {"i-2"}};
    const auto decoded = decodeStoreUpdate(encodeStoreUpdate(update));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->sequence == update.sequence);
    RC_ASSERT(decoded->registrations->from == 5U);
    RC_ASSERT(decoded->registrations->gone.front() == "i-2");
    const Registration &copy = decoded->registrations->changed.front();
    RC_ASSERT(copy.startedAt == entry.startedAt && copy.draining == entry.draining);
    RC_ASSERT(copy.address == entry.address && copy.slots == entry.slots);
    RC_ASSERT(copy.revision == entry.revision);
    RC_ASSERT(copy.models.front().weightsVersion == entry.models.front().weightsVersion);
    RC_ASSERT(!decodePeerMessage(encodeStoreUpdate(update)).has_value());
}

RC_GTEST_PROP(StoreUpdate, DecodingArbitraryBytesNeitherThrowsNorCrashes,
              (const std::string &bytes))
{
    (void)decodeStoreUpdate(bytes);
}

// Guards against a receiver that takes over the wrong versions, or those of another entry.
TEST(StoreUpdate, ADeltaMakesTheNewEntryOfTheKnownOne)
{
    Registration before{"desk-1", milliseconds(1700000000000), "desk", "127.0.0.1:8000", "dc-1", 12,
                        false,    {{"a", 1}, {"b", 2}}};
    Registration after = before;
    after.models[1].weightsVersion = 3;
    after.draining = true;
    after.revision = 9;
    StoreUpdate update;
    update.registrations = StoreUpdate::Registrations();
    update.registrations->deltas.push_back(deltaOf(after));
    const auto decoded = decodeStoreUpdate(encodeStoreUpdate(update));
    ASSERT_TRUE(decoded && decoded->registrations && decoded->registrations->deltas.size() == 1);
    const RegistrationDelta &delta = decoded->registrations->deltas.front();
    const auto learnt = applyDelta(delta, before);
    ASSERT_TRUE(learnt);
    EXPECT_EQ(learnt->models[1].weightsVersion, 3);
    EXPECT_TRUE(learnt->draining);
    EXPECT_EQ(learnt->revision, 9);
    EXPECT_FALSE(isRenewal(deltaOf(before), delta));
    Registration restarted = before;
    restarted.startedAt += milliseconds(1);
    EXPECT_FALSE(applyDelta(delta, restarted));
}

} // namespace almondmill::test
