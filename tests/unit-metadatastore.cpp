// The stand-in for the platform's metadata store, and the platform adapter's client of that store.

#include "support/storeclienttest.h"

#include "almondmill/kernel/samejson.h"

#include <nlohmann/json.hpp>

namespace almondmill::test {

namespace {

using namespace standin::rietwerk;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MetadataStore::Time Start{std::chrono::hours(1)};
using Result = MetadataStore::Result;

} // namespace

TEST(MetadataStore, ChangesAreConditional)
{
    MetadataStore store;
    const auto created = store.create("k", "a", {{"x", 1}}, Start);
    EXPECT_EQ(created.result, Result::Done);
    EXPECT_EQ(store.create("k", "a", {}, Start).result, Result::Exists);
    EXPECT_EQ(store.replace("k", "b", {}, std::nullopt, Start).result, Result::Missing);
    EXPECT_EQ(store.replace("k", "a", {}, created.object->revision + 1, Start).result,
              Result::RevisionMismatch);
    EXPECT_EQ(store.replace("k", "a", {{"x", 2}}, created.object->revision, Start).result,
              Result::Done);
    EXPECT_EQ(store.remove("k", "a", created.object->revision).result, Result::RevisionMismatch);
    EXPECT_EQ(store.remove("k", "a", std::nullopt).result, Result::Done);
    EXPECT_EQ(store.find("k", "a"), std::nullopt);
}

TEST(MetadataStore, WritingAnEqualSpecIsNoChange)
{
    MetadataStore store;
    store.create("k", "a", {{"x", 1}}, Start);
    const auto before = store.revision();
    store.replace("k", "a", {{"x", 1}}, std::nullopt, Start);
    EXPECT_EQ(store.revision(), before);
    EXPECT_TRUE(store.eventsAfter("k", before)->empty());
}

TEST(MetadataStore, EventsAreOfOneKindAndHistoryCanBeGone)
{
    MetadataStore store;
    const auto before = store.revision();
    store.create("k", "a", {{"x", 1}}, Start);
    store.create("other", "a", {{"x", 1}}, Start);
    store.remove("k", "a", std::nullopt);
    const auto events = store.eventsAfter("k", before);
    ASSERT_EQ(events->size(), 2U);
    EXPECT_FALSE(events->front().deleted);
    EXPECT_TRUE(events->back().deleted);
    store.forgetHistory();
    EXPECT_EQ(store.eventsAfter("k", before), std::nullopt);
    EXPECT_TRUE(store.eventsAfter("k", store.revision())->empty());
}

TEST(MetadataStore, EntriesWithoutRecentWritesExpire)
{
    MetadataStore store;
    store.create("k", "a", {{"x", 1}}, Start);
    store.create("k", "b", {{"x", 1}}, Start);
    store.replace("k", "b", {{"x", 1}}, std::nullopt, Start + seconds(2));
    store.expire("k", Start + seconds(1));
    EXPECT_EQ(store.find("k", "a"), std::nullopt);
    EXPECT_TRUE(store.find("k", "b").has_value());
}

TEST_F(StoreClientTest, CreatesReadsAndUpdates)
{
    const auto created = wait(client->create(ObjectKind::Leases, "l", R"({"x":1})", deadline()));
    ASSERT_TRUE(std::holds_alternative<Applied>(created));
    const auto again = wait(client->create(ObjectKind::Leases, "l", R"({"x":2})", deadline()));
    ASSERT_TRUE(std::holds_alternative<Conflict>(again));
    EXPECT_EQ(std::get<Conflict>(again).current->value, R"({"x":1})");
    const auto version = std::get<Applied>(created).version;
    const auto updated =
            wait(client->update(ObjectKind::Leases, "l", R"({"x":3})", version, deadline()));
    ASSERT_TRUE(std::holds_alternative<Applied>(updated));
    const auto late =
            wait(client->update(ObjectKind::Leases, "l", R"({"x":4})", version, deadline()));
    EXPECT_TRUE(std::holds_alternative<Conflict>(late));
    const auto read = wait(client->read(ObjectKind::Leases, "l", Freshness::Current, deadline()));
    EXPECT_EQ(std::get<StoredObject>(read).value, R"({"x":3})");
    EXPECT_TRUE(std::holds_alternative<Absent>(
            wait(client->read(ObjectKind::Leases, "m", Freshness::Current, deadline()))));
}

TEST_F(StoreClientTest, ValuesAreReadAsTheyWereWritten)
{
    for (const std::string value :
         {"{}", "[]", "[[],{},[{}]]", R"({"a":{"b":[1,-2,2.5e-7,true,false,null]},"c":""})",
          R"({"metadata":{"name":"other","revision":1},"spec":{"spec":"x"},"items":[1]})",
          R"({"text":"\"quoted\" \\ \u0001 é 😀","key \"x\"":18446744073709551615})", "17",
          "\"text\"", "null"}) {
        SCOPED_TRACE(value);
        server.store().put("almondmill-leases", "l", nlohmann::json::parse(value),
                           std::chrono::steady_clock::now());
        const auto read =
                wait(client->read(ObjectKind::Leases, "l", Freshness::Current, deadline()));
        ASSERT_TRUE(std::holds_alternative<StoredObject>(read));
        EXPECT_TRUE(isSameJson(std::get<StoredObject>(read).value, value))
                << std::get<StoredObject>(read).value;
        const auto list = wait(client->list(ObjectKind::Leases, Freshness::Current, deadline()));
        ASSERT_EQ(std::get<ObjectList>(list).objects.size(), 1U);
        EXPECT_TRUE(isSameJson(std::get<ObjectList>(list).objects[0].value, value));
    }
}

TEST_F(StoreClientTest, WatchesReturnChangesAndSayWhenHistoryIsGone)
{
    const auto list = wait(client->list(ObjectKind::Leases, Freshness::Current, deadline()));
    const auto revision = std::get<ObjectList>(list).revision;
    server.store().create("almondmill-leases", "l", {{"x", 1}}, std::chrono::steady_clock::now());
    const auto events =
            wait(client->events(ObjectKind::Leases, revision, milliseconds(100), deadline()));
    ASSERT_EQ(std::get<ObjectEvents>(events).events.size(), 1U);
    EXPECT_EQ(std::get<ObjectEvents>(events).events.front().object.name, "l");
    server.store().forgetHistory();
    EXPECT_TRUE(std::holds_alternative<HistoryGone>(
            wait(client->events(ObjectKind::Leases, revision, milliseconds(100), deadline()))));
}

TEST_F(StoreClientTest, ABusyStoreChangesNothingAndALostAnswerIsUnknown)
{
    server.setFault(MetadataServer::Fault::Busy);
    EXPECT_TRUE(std::holds_alternative<NotApplied>(
            wait(client->create(ObjectKind::Leases, "l", R"({"x":1})", deadline()))));
    server.setFault(MetadataServer::Fault::LoseAnswer);
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(
            wait(client->create(ObjectKind::Leases, "l", R"({"x":1})", deadline()))));
    server.setFault(MetadataServer::Fault::None);
    EXPECT_TRUE(server.store().find("almondmill-leases", "l").has_value());
}

} // namespace almondmill::test
