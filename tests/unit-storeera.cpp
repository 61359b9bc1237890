// The store's client across a return of the store to an older copy: what is newer counts as newer,
// though the store gives revisions out again.

#include "support/storeclienttest.h"

#include "almondmill/store/revision.h"

#include <nlohmann/json.hpp>

#include <string>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr const char *RegistrationKind = "servers";
constexpr std::uint64_t FirstEra = 7;

} // namespace

class StoreEra : public StoreClientTest
{
protected:
    StoreEra() { server.store().setEra(FirstEra); }

    std::uint64_t put(const std::string &name, int value)
    {
        return server.store().put(RegistrationKind, name, {{"x", value}},
                                  std::chrono::steady_clock::now());
    }

    ObjectList list()
    {
        return std::get<ObjectList>(
                wait(client->list(ObjectKind::Registrations, Freshness::Current, deadline())));
    }

    void returnTo(const standin::rietwerk::MetadataStore::Copy &copy)
    {
        server.store().returnTo(copy, std::chrono::steady_clock::now());
    }
};

TEST(Revision, HoldsTheEraAboveTheStoresNumber)
{
    const std::uint64_t revision = makeRevision(3, 41);
    EXPECT_EQ(eraOf(revision), 3U);
    EXPECT_EQ(numberOf(revision), 41U);
    EXPECT_EQ(revisionText(revision), "3/41");
    EXPECT_EQ(makeRevision(0, 41), 41U);
    EXPECT_EQ(revisionText(41), "41");
    EXPECT_GT(makeRevision(3, 1), makeRevision(2, MaxRevisionNumber));
    EXPECT_EQ(numberOf(makeRevision(MaxStoreEra, MaxRevisionNumber)), MaxRevisionNumber);
}

TEST_F(StoreEra, WhatIsReadAfterAReturnIsNewer)
{
    put("a", 1);
    const auto copy = server.store().copy();
    for (int change = 0; change < 20; ++change)
        put("b", change);
    const ObjectList before = list();
    EXPECT_EQ(client->era(), FirstEra);
    returnTo(copy);
    put("c", 1);
    const ObjectList after = list();
    EXPECT_EQ(client->era(), FirstEra + 1);
    EXPECT_GT(after.revision, before.revision);
    for (const StoredObject &object : after.objects)
        EXPECT_GT(object.version, before.revision) << object.name;
}

TEST_F(StoreEra, AStoreWithoutErasKeepsItsRevisions)
{
    server.store().setEra(0);
    const std::uint64_t revision = put("a", 1);
    const ObjectList objects = list();
    EXPECT_EQ(objects.revision, revision);
    EXPECT_EQ(objects.objects.at(0).version, revision);
    EXPECT_EQ(client->era(), 0U);
}

// Guards against changes that are left out because a revision from before the return names another
// change after it.
TEST_F(StoreEra, ARevisionFromBeforeTheReturnNamesNoChange)
{
    const auto copy = server.store().copy();
    put("a", 1);
    put("a", 2);
    const std::uint64_t known = list().revision;
    returnTo(copy);
    for (int change = 0; change < 9; ++change)
        put("b", change);
    server.store().forgetHistory();
    put("c", 1);
    // The store has a revision of that number, and changes after it.
    const std::uint64_t number = numberOf(list().revision) - 1;
    const auto events =
            wait(client->events(ObjectKind::Registrations, makeRevision(FirstEra, number),
                                milliseconds(1), deadline()));
    EXPECT_TRUE(std::holds_alternative<HistoryGone>(events));
    EXPECT_LT(known, makeRevision(FirstEra + 1, 0));
}

// Guards against a write under a condition that holds only because a revision was given out again.
TEST_F(StoreEra, AnUpdateOfAVersionFromBeforeTheReturnConflicts)
{
    const auto copy = server.store().copy();
    const auto created = wait(client->create(ObjectKind::Leases, "l", R"({"x":1})", deadline()));
    const std::uint64_t version = std::get<Applied>(created).version;
    returnTo(copy);
    const auto another = wait(client->create(ObjectKind::Leases, "l", R"({"x":2})", deadline()));
    ASSERT_EQ(numberOf(std::get<Applied>(another).version), numberOf(version));
    const auto updated =
            wait(client->update(ObjectKind::Leases, "l", R"({"x":3})", version, deadline()));
    EXPECT_TRUE(std::holds_alternative<Conflict>(updated));
}

// Guards against an answer that was underway when the store returned and undoes what is newer.
TEST_F(StoreEra, AnAnswerOfAnEarlierEraIsNone)
{
    list();
    server.store().setEra(FirstEra - 1);
    EXPECT_TRUE(std::holds_alternative<Unavailable>(
            wait(client->list(ObjectKind::Registrations, Freshness::Current, deadline()))));
    EXPECT_EQ(client->era(), FirstEra);
}

TEST_F(StoreEra, AnAbsentObjectStatesTheEra)
{
    const auto result = wait(client->read(ObjectKind::Leases, "l", Freshness::Current, deadline()));
    ASSERT_TRUE(std::holds_alternative<Absent>(result));
    EXPECT_EQ(std::get<Absent>(result).era, FirstEra);
}

} // namespace almondmill::test
