// Choice of the address from which the shared parts of a prompt are fetched.

#include "almondmill/forward/partsources.h"

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "support/forwardingharness.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr milliseconds PrefillTime{200};
constexpr const char *Scope = "w1";
constexpr const char *CacheStoreAddress = "127.0.0.9:9";

/// Engines "e1" to "e3", a KV cache store, and a prompt with the shared parts "a1" and "b2".
class PartSourcesTest : public testing::Test
{
protected:
    PartSourcesTest()
        : context(loop, ForwarderSettings(), PlatformAdapterRegistry::create("rietwerk"))
        , table(configuration())
        , sources(context)
    {
        for (const char *id : {"e1", "e2", "e3"})
            addEngine(id);
        PromptRequest prompt;
        prompt.model = "m";
        prompt.promptTokens = 9000;
        prompt.parts = {{"a1", 2500}, {"b2", 3700}, {"c3", 2800}};
        request.prompt = prompt;
    }

    static RoutingConfiguration configuration()
    {
        RoutingConfiguration configuration = oneRouteOfEachKind();
        RoutedService &engines = configuration.services[2];
        engines.engine = EngineTraits{48, 100000, 163840, 1100000, 12};
        RoutedService keep;
        keep.name = "keep";
        keep.kvCacheStore = KvCacheStore{CacheStoreAddress, "dc-1", 1600000, 280000};
        configuration.services.push_back(keep);
        return configuration;
    }

    void addEngine(const std::string &id)
    {
        Registration entry;
        entry.id = id;
        entry.service = "stream";
        entry.address = addressOf(id);
        entry.slots = 48;
        entry.models = {{"m", 1}};
        context.directory.put(entry);
    }

    static std::string addressOf(const std::string &id) { return "127.0.0.1:80" + id.substr(1); }

    RoutedRequest placed() const
    {
        return {request, table, table.configuration().routes[2], nullptr, service};
    }

    void place(const char *part, const char *engine, bool saved, SteadyTime now)
    {
        context.partLocations.recordPlacement({partKey(Scope, part), shortHash(engine), saved},
                                              shortHash(CacheStoreAddress), PrefillTime, now);
    }

    /// The engine that rendezvous hashing assigns to the prompt's longest shared part.
    static std::string assignedEngine(const PromptRequest &prompt)
    {
        const std::uint64_t part = sharedPartHash(prompt);
        const auto rank = [&](const char *id) { return rendezvousRank(part, hash64(id)); };
        return std::min({"e1", "e2", "e3"}, [&](const char *first, const char *second) {
            return rank(first) < rank(second);
        });
    }

    std::string addressFor(const char *engine, SteadyTime now) const
    {
        return sources.addressFor(placed(), Scope, 1, engine, {now, now});
    }

    bool canFetch(SteadyTime now) const
    {
        return sources.longestSharedPart(placed(), Scope, 1, {now, now}).canFetch;
    }

    boost::asio::io_context loop;
    ForwardingContext context;
    RoutingTable table;
    PartSources sources;
    CallerRequest request;
    std::string service = "stream";
};

} // namespace

TEST_F(PartSourcesTest, UnknownPartsAreFetchedFromTheAssignedEngine)
{
    EXPECT_FALSE(canFetch(Start));
    const std::string assigned = assignedEngine(*request.prompt);
    for (const char *engine : {"e1", "e2", "e3"})
        EXPECT_EQ(addressFor(engine, Start),
                  engine == assigned ? CacheStoreAddress : addressOf(assigned));
}

TEST_F(PartSourcesTest, AnEngineProvidesPartsThatItHasComputed)
{
    place("b2", "e1", false, Start);
    EXPECT_FALSE(canFetch(Start + PrefillTime / 2));
    EXPECT_TRUE(canFetch(Start + PrefillTime));
    EXPECT_EQ(addressFor("e2", Start + PrefillTime), addressOf("e1"));
}

TEST_F(PartSourcesTest, ThePreviousHolderProvidesAPartDuringPrefillAtTheCurrentOne)
{
    place("b2", "e1", false, Start);
    place("b2", "e2", false, Start + seconds(1));
    EXPECT_EQ(addressFor("e3", Start + seconds(1)), addressOf("e1"));
    EXPECT_EQ(addressFor("e3", Start + seconds(1) + PrefillTime), addressOf("e2"));
}

TEST_F(PartSourcesTest, TheStoreProvidesPartsThatEnginesHaveEvicted)
{
    place("b2", "e1", true, Start);
    for (int send = 0; send < 400; ++send)
        sources.recordPromptSent(placed(), false, Start + milliseconds(25) * send);
    const SteadyTime later = Start + seconds(10);
    EXPECT_TRUE(canFetch(later));
    EXPECT_EQ(addressFor("e2", later), CacheStoreAddress);
    EXPECT_EQ(addressFor("e1", later), CacheStoreAddress);
}

TEST_F(PartSourcesTest, TheCurrentHolderFetchesFromTheStore)
{
    place("b2", "e1", true, Start);
    EXPECT_EQ(addressFor("e1", Start + seconds(1)), CacheStoreAddress);
}

TEST_F(PartSourcesTest, AShorterPartIsFetchedWhenTheLongestIsUnknown)
{
    place("a1", "e3", false, Start);
    EXPECT_FALSE(canFetch(Start + seconds(1)));
    EXPECT_EQ(addressFor("e1", Start + seconds(1)), addressOf("e3"));
}

TEST_F(PartSourcesTest, EnginesWithOtherWeightsOrInBackoffProvideNothing)
{
    place("b2", "e1", false, Start);
    context.endpoints.find("e1")->setWeightsVersion("m", 2);
    EXPECT_FALSE(canFetch(Start + seconds(1)));
    context.endpoints.find("e1")->setWeightsVersion("m", 1);
    EXPECT_TRUE(canFetch(Start + seconds(1)));
    context.endpoints.find("e1")->health().recordNoAnswer(Start + seconds(1));
    EXPECT_FALSE(canFetch(Start + seconds(1)));
}

// Guards against fetches from an engine that may have exited after it announced its shutdown.
TEST_F(PartSourcesTest, EnginesThatLeaveProvidePartsUntilTheDrainDeadline)
{
    const std::string assigned = assignedEngine(*request.prompt);
    const SteadyTime left = Start + seconds(1);
    const SteadyTime deadline = left + context.settings.drainDeadline;
    place("b2", assigned.c_str(), false, Start);
    const auto view = context.endpoints.find(assigned);
    view->availability().recordLeaving(left);
    view->availability().recordPause(seconds(10), left);
    const char *other = assigned == "e1" ? "e2" : "e1";
    EXPECT_TRUE(canFetch(deadline - milliseconds(1)));
    EXPECT_EQ(addressFor(other, deadline - milliseconds(1)), addressOf(assigned));
    EXPECT_FALSE(canFetch(deadline));
    EXPECT_EQ(addressFor(other, deadline), CacheStoreAddress);
}

} // namespace almondmill::test
