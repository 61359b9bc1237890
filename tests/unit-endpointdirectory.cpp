#include "almondmill/directory/endpointdirectory.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/endpointviews.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

Registration entryOf(const std::string &id, std::int64_t startedAt = 1)
{
    Registration entry;
    entry.id = id;
    entry.startedAt = std::chrono::milliseconds(startedAt);
    entry.service = "s";
    entry.address = "127.0.0.1:80";
    entry.models = {{"m", 1}};
    return entry;
}

/// The entry as written at a revision of the store.
Registration writtenAt(std::uint64_t revision, Registration entry)
{
    entry.revision = revision;
    return entry;
}

/// A directory whose changes are applied to endpoint views.
struct ObservedDirectory
{
    EndpointViews views;
    EndpointDirectory directory{
            [this](const RegistrationChange &change) { views.changed(change); }};
};

} // namespace

TEST(EndpointDirectory, AListRemovesEntriesThatAreNotInIt)
{
    ObservedDirectory observed;
    observed.directory.replaceAll({entryOf("a"), entryOf("b")}, 5);
    observed.directory.replaceAll({entryOf("b"), entryOf("c")}, 6);
    EXPECT_EQ(observed.views.find("a"), nullptr);
    EXPECT_NE(observed.views.find("b"), nullptr);
    EXPECT_NE(observed.views.find("c"), nullptr);
    EXPECT_EQ(observed.directory.revision(), 6U);
}

// Guards against a mark that is lost when the registration expires in a store outage and returns,
// or when an older registration of the same id comes in between.
TEST(EndpointDirectory, WhatAnIncarnationStatedOutlivesItsRegistration)
{
    const SteadyTime now{std::chrono::hours(1)};
    ObservedDirectory observed;
    observed.directory.put(writtenAt(1, entryOf("a", 2)));
    const auto before = observed.views.find("a");
    observed.directory.remove("a", 2);
    before->availability().recordLeaving(now); // By a request that was still open.
    observed.directory.put(writtenAt(3, entryOf("a", 2)));
    EXPECT_TRUE(observed.views.find("a")->availability().isLeaving());
    observed.directory.put(writtenAt(4, entryOf("a", 1)));
    EXPECT_FALSE(observed.views.find("a")->availability().isLeaving());
    observed.directory.put(writtenAt(5, entryOf("a", 2)));
    EXPECT_TRUE(observed.views.find("a")->availability().isLeaving());
    observed.directory.put(writtenAt(6, entryOf("a", 3)));
    EXPECT_FALSE(observed.views.find("a")->availability().isLeaving());
}

TEST(EndpointDirectory, StatementsOfRemovedIncarnationsAreBounded)
{
    const SteadyTime now{std::chrono::hours(1)};
    AvailabilityRecords records;
    records.of(entryOf("a"))->recordLeaving(now);
    records.removed(entryOf("a"));
    EXPECT_TRUE(records.of(entryOf("a"))->isLeaving());
    for (std::size_t i = 0; i < AvailabilityRecords::MaxRemoved; ++i) {
        records.of(entryOf("b" + std::to_string(i)));
        records.removed(entryOf("b" + std::to_string(i)));
    }
    EXPECT_FALSE(records.of(entryOf("a"))->isLeaving());
}

TEST(EndpointDirectory, EntriesMissingFromAListAreKeptWhenRequested)
{
    ObservedDirectory observed;
    observed.directory.replaceAll({entryOf("a"), entryOf("b")}, 5);
    observed.directory.replaceAll({entryOf("b")}, 6, [](const Registration &) { return true; });
    EXPECT_NE(observed.views.find("a"), nullptr);
    observed.directory.replaceAll({entryOf("b")}, 7);
    EXPECT_EQ(observed.views.find("a"), nullptr);
}

TEST(EndpointDirectory, AnOlderListIsIgnored)
{
    ObservedDirectory observed;
    observed.directory.replaceAll({entryOf("a")}, 5);
    observed.directory.replaceAll({}, 4);
    EXPECT_NE(observed.views.find("a"), nullptr);
}

// Guards against an endpoint that has left and is added again by older news of its entry.
TEST(EndpointDirectory, OlderNewsOfARemovedEntryAreIgnored)
{
    ObservedDirectory observed;
    observed.directory.put(writtenAt(5, entryOf("a")));
    observed.directory.remove("a", 7);
    observed.directory.put(writtenAt(6, entryOf("a")));
    EXPECT_EQ(observed.views.find("a"), nullptr);
    observed.directory.put(writtenAt(8, entryOf("a", 2)));
    EXPECT_NE(observed.views.find("a"), nullptr);
}

TEST(EndpointDirectory, OlderNewsOfAnEntryAreIgnored)
{
    ObservedDirectory observed;
    Registration draining = entryOf("a");
    draining.draining = true;
    observed.directory.put(writtenAt(6, draining));
    observed.directory.put(writtenAt(5, entryOf("a")));
    EXPECT_TRUE(observed.directory.find("a")->draining);
    observed.directory.remove("a", 5);
    EXPECT_NE(observed.views.find("a"), nullptr);
    observed.directory.remove("a", 6); // A store may report a removal with the last revision.
    EXPECT_EQ(observed.views.find("a"), nullptr);
}

TEST(EndpointDirectory, RememberedRemovalsAreBounded)
{
    ObservedDirectory observed;
    observed.directory.remove("a", 1);
    for (std::size_t i = 0; i < EndpointDirectory::MaxRemovals; ++i)
        observed.directory.remove("b" + std::to_string(i), 2 + i);
    observed.directory.put(writtenAt(1, entryOf("a")));
    EXPECT_NE(observed.views.find("a"), nullptr);
    observed.directory.put(writtenAt(1, entryOf("b0")));
    EXPECT_EQ(observed.views.find("b0"), nullptr);
}

TEST(EndpointDirectory, ARestartUnderTheSameIdIsANewIncarnation)
{
    ObservedDirectory observed;
    observed.directory.put(entryOf("a", 1));
    const auto before = observed.views.find("a");
    observed.directory.put(entryOf("a", 1));
    EXPECT_EQ(observed.views.find("a"), before);
    observed.directory.put(entryOf("a", 2));
    EXPECT_NE(observed.views.find("a"), before);
    EXPECT_FALSE(before->takesRequests());
    EXPECT_EQ(observed.views.ofService("s").size(), 1U);
}

TEST(EndpointDirectory, ADrainingEndpointTakesNoRequests)
{
    ObservedDirectory observed;
    observed.directory.put(entryOf("a"));
    Registration draining = entryOf("a");
    draining.draining = true;
    observed.directory.put(draining);
    EXPECT_FALSE(observed.views.find("a")->takesRequests());
}

TEST(EndpointView, ReportedWeightsVersionStaysUntilTheEntryChanges)
{
    EndpointView view(entryOf("a"));
    view.setWeightsVersion("m", 2);
    view.update(entryOf("a"));
    EXPECT_EQ(view.weightsVersion("m"), 2U);
    Registration newer = entryOf("a");
    newer.models = {{"m", 3}};
    view.update(newer);
    EXPECT_EQ(view.weightsVersion("m"), 3U);
    EXPECT_EQ(view.weightsVersion("other"), std::nullopt);
}

} // namespace almondmill::test
