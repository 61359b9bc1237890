// Evidence against prompt parts that outlives the routers in the platform's store.

#include "support/scriptedstore.h"

#include "almondmill/forward/partbreakers.h"
#include "almondmill/forward/partevidencearchive.h"
#include "almondmill/forward/storedpartevidence.h"
#include "almondmill/metrics/metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PartHash Guilty = 0xfedcba9876543210;
constexpr PartHash Sound = 7;

/// Longer than a writer takes to save a change.
constexpr milliseconds TimeToSave{3500};

/// A router with the archive of its evidence.
struct Router
{
    Router(boost::asio::io_context &loop, ScriptedStore &store, const std::string &name)
        : breakers(name, metrics)
        , archive(loop, store, breakers,
                  {[this] { return isWriter; }, [this] { return isStoreAnswering; }})
    {
        boost::asio::co_spawn(loop, archive.run(), boost::asio::detached);
    }

    /// Records crashes of engines, one a second, at which the part waited alone.
    void recordCrashes(PartHash part, std::uint64_t count, std::uint64_t firstEngine = 1)
    {
        const SteadyTime now = std::chrono::steady_clock::now();
        for (std::uint64_t crash = 0; crash < count; ++crash)
            breakers.recordCrash(firstEngine + crash, {part}, now - seconds(count - crash));
    }

    bool isWriter = true;
    bool isStoreAnswering = true;
    Metrics metrics;
    PartBreakers breakers;
    PartEvidenceArchive archive;
};

class PartEvidenceArchiveTest : public testing::Test
{
protected:
    boost::asio::io_context loop;
    ScriptedStore store{loop};
};

bool refuses(const Router &router, PartHash part)
{
    return router.breakers.findOpen({part}, std::chrono::steady_clock::now()).has_value();
}

} // namespace

// Guards against a fleet whose routers all end at once, and that then sends a part which crashes
// engines to as many of them again.
TEST_F(PartEvidenceArchiveTest, ARouterThatStartsRefusesWhatAFleetBeforeItFound)
{
    Router before(loop, store, "before");
    loop.run_for(milliseconds(50));
    before.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    Router after(loop, store, "after");
    loop.run_for(milliseconds(50));
    EXPECT_TRUE(refuses(after, Guilty));
    EXPECT_EQ(after.breakers.crashesOf({Guilty}), 3U);
}

// Guards against a part that has been answered since, and is refused again after a restart.
TEST_F(PartEvidenceArchiveTest, EvidenceThatAnAnswerClearedIsRemoved)
{
    Router before(loop, store, "before");
    loop.run_for(milliseconds(50));
    before.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    before.breakers.recordAnswer({Guilty}, std::chrono::steady_clock::now());
    loop.run_for(TimeToSave);
    Router after(loop, store, "after");
    loop.run_for(milliseconds(50));
    EXPECT_FALSE(refuses(after, Guilty));
    EXPECT_EQ(after.breakers.crashesOf({Guilty}), 0U);
}

TEST_F(PartEvidenceArchiveTest, WhatChangesNoDecisionIsNotWritten)
{
    Router writer(loop, store, "writer");
    Router other(loop, store, "other");
    other.isWriter = false;
    loop.run_for(milliseconds(50));
    const std::uint64_t before = store.revision();
    writer.recordCrashes(Sound, 1);
    other.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    EXPECT_EQ(store.revision(), before);
}

TEST_F(PartEvidenceArchiveTest, AnUnchangedDecisionIsWrittenOnce)
{
    Router writer(loop, store, "writer");
    loop.run_for(milliseconds(50));
    const std::uint64_t before = store.revision();
    writer.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    loop.run_for(TimeToSave);
    EXPECT_EQ(store.revision(), before + 1);
}

TEST_F(PartEvidenceArchiveTest, WhatTwoWritersKnowIsMerged)
{
    Router first(loop, store, "first");
    Router second(loop, store, "second");
    loop.run_for(milliseconds(50));
    first.recordCrashes(Guilty, 3);
    second.recordCrashes(Sound, 3, 100);
    loop.run_for(TimeToSave);
    loop.run_for(TimeToSave);
    Router after(loop, store, "after");
    loop.run_for(milliseconds(50));
    EXPECT_EQ(after.breakers.crashesOf({Guilty}), 3U);
    EXPECT_EQ(after.breakers.crashesOf({Sound}), 3U);
}

// A router that becomes the writer clears what the one before it had no time to clear.
TEST_F(PartEvidenceArchiveTest, ANewWriterKnowsWhatTheOneBeforeItStored)
{
    Router first(loop, store, "first");
    Router second(loop, store, "second");
    second.isWriter = false;
    loop.run_for(milliseconds(50));
    first.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    first.isWriter = false;
    second.isWriter = true;
    loop.run_for(TimeToSave);
    second.breakers.recordAnswer({Guilty}, std::chrono::steady_clock::now());
    loop.run_for(TimeToSave);
    Router after(loop, store, "after");
    loop.run_for(milliseconds(50));
    EXPECT_FALSE(refuses(after, Guilty));
}

TEST_F(PartEvidenceArchiveTest, AStoreThatIsBackIsRead)
{
    Router before(loop, store, "before");
    loop.run_for(milliseconds(50));
    before.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    store.setAvailable(false);
    Router after(loop, store, "after");
    after.isStoreAnswering = false;
    loop.run_for(milliseconds(500));
    EXPECT_FALSE(refuses(after, Guilty));
    store.setAvailable(true);
    after.isStoreAnswering = true;
    loop.run_for(milliseconds(500));
    EXPECT_TRUE(refuses(after, Guilty));
}

// Guards against all routers of a fleet that call a store which is down, because in an outage each
// takes itself for the one that writes.
TEST_F(PartEvidenceArchiveTest, AnOutageOfTheStoreBringsNoFurtherCalls)
{
    Router running(loop, store, "running");
    running.isWriter = false;
    loop.run_for(milliseconds(50));
    store.setAvailable(false);
    running.isWriter = true;
    running.isStoreAnswering = false;
    Router starting(loop, store, "starting");
    starting.isStoreAnswering = false;
    loop.run_for(milliseconds(50));
    const std::size_t before = store.reads();
    loop.run_for(TimeToSave);
    EXPECT_EQ(store.reads(), before);
}

// Guards against reads by all routers after an outage, until they hear of each other again.
TEST_F(PartEvidenceArchiveTest, ARouterThatIsTheWriterForAMomentDoesNotCall)
{
    Router router(loop, store, "router");
    router.isWriter = false;
    loop.run_for(milliseconds(50));
    const std::size_t before = store.reads();
    router.isWriter = true;
    loop.run_for(milliseconds(990));
    router.isWriter = false;
    loop.run_for(TimeToSave);
    EXPECT_EQ(store.reads(), before);
}

TEST_F(PartEvidenceArchiveTest, AnUnreadableObjectIsReplaced)
{
    store.write(ObjectKind::PartEvidence, "current", R"({"parts":[{"part":7}]})");
    Router before(loop, store, "before");
    loop.run_for(milliseconds(50));
    before.recordCrashes(Guilty, 3);
    loop.run_for(TimeToSave);
    Router after(loop, store, "after");
    loop.run_for(milliseconds(50));
    EXPECT_TRUE(refuses(after, Guilty));
}

TEST(StoredPartEvidence, TimesAreThoseOfTheWallClock)
{
    const EvidenceTime written{SteadyTime(std::chrono::hours(5)), WallTime(std::chrono::hours(9))};
    const std::string text =
            encodeStoredEvidence({{Guilty, {{11, written.steady - seconds(20), true}}}}, written);
    const EvidenceTime read{SteadyTime(seconds(3)), written.wall + seconds(40)};
    const auto evidence = decodeStoredEvidence(text, read);
    ASSERT_TRUE(evidence);
    EXPECT_EQ(evidence->front().part, Guilty);
    EXPECT_EQ(evidence->front().crashes.front().engine, 11U);
    EXPECT_TRUE(evidence->front().crashes.front().answered);
    EXPECT_EQ(evidence->front().crashes.front().at, read.steady - seconds(60));
    const auto early = decodeStoredEvidence(text, {read.steady, written.wall - seconds(60)});
    EXPECT_EQ(early->front().crashes.front().at, read.steady);
}

RC_GTEST_PROP(StoredPartEvidence, DecodingArbitraryTextNeitherThrowsNorCrashes,
              (const std::string &text))
{
    (void)decodeStoredEvidence(text, EvidenceTime::now());
}

} // namespace almondmill::test
