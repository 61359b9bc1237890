#include "support/configurations.h"
#include "support/faultystore.h"

#include "almondmill/config/configurationstore.h"
#include "almondmill/config/partition.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace almondmill::test {

namespace {

constexpr std::chrono::milliseconds Timeout{1000};
constexpr std::size_t TargetAccounts = 14000;
constexpr std::size_t TargetEndpoints = 660;

std::shared_ptr<const Configuration> load(ObjectStore &objects)
{
    ConfigurationStore store(objects, Timeout);
    const auto result = store.load();
    const auto *loaded = std::get_if<LoadedConfiguration>(&result);
    return loaded ? loaded->configuration : nullptr;
}

std::uint64_t appliedVersion(const UpdateResult &result)
{
    const auto *applied = std::get_if<Applied>(&result);
    return applied ? applied->version : 0;
}

std::size_t partCount(FaultyStore &objects)
{
    return std::get<ObjectList>(objects.inner().list(PartPrefix, Timeout)).objects.size();
}

} // namespace

TEST(ConfigurationStore, ReturnsWhatWasSubmitted)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    EXPECT_TRUE(std::holds_alternative<NoConfiguration>(store.load()));
    ASSERT_EQ(appliedVersion(store.submit(makeInventory(3), makeRules(2), 0)), 1U);
    const auto configuration = load(objects);
    ASSERT_TRUE(configuration);
    EXPECT_EQ(configuration->version(), 1U);
    EXPECT_EQ(configuration->inventory(), makeInventory(3));
    EXPECT_EQ(configuration->rules(), makeRules(2));
}

TEST(ConfigurationStore, AChangeOfOneAccountAtTheTargetSizeWritesOnePartAndTheRoot)
{
    FaultyStore objects;
    ConfigurationStore submitter(objects, Timeout);
    ConfigurationStore reader(objects, Timeout);
    Rules rules = makeRules(TargetAccounts);
    const Inventory inventory = makeInventory(TargetEndpoints);
    ASSERT_EQ(appliedVersion(submitter.submit(inventory, rules, 0)), 1U);
    ASSERT_TRUE(std::holds_alternative<LoadedConfiguration>(reader.load()));
    const auto all = std::get<ObjectList>(objects.inner().list(PartPrefix, Timeout));
    for (const StoredObject &object : all.objects)
        EXPECT_LE(object.value.size(), MaxPartBytes) << object.name;

    objects.resetCounts();
    rules.clientAccounts[7777].maxConcurrent = 9;
    ASSERT_EQ(appliedVersion(submitter.submit(inventory, rules, 1)), 2U);
    EXPECT_EQ(objects.writes(), 2U);
    RecordProperty("bytes_written", static_cast<int>(objects.bytesWritten()));

    objects.resetCounts();
    const auto result = reader.load();
    ASSERT_TRUE(std::holds_alternative<LoadedConfiguration>(result));
    EXPECT_EQ(objects.reads(), 2U);
    RecordProperty("bytes_read", static_cast<int>(objects.bytesRead()));
    const auto &loaded = *std::get<LoadedConfiguration>(result).configuration;
    EXPECT_EQ(std::count_if(
                      loaded.rules().clientAccounts.begin(), loaded.rules().clientAccounts.end(),
                      [](const ClientAccount &account) { return account.maxConcurrent == 9; }),
              1);
}

TEST(ConfigurationStore, TheNumberOfPartsDoesNotOscillateAtABound)
{
    std::size_t accounts = 1;
    while (partition(Inventory{}, makeRules(accounts), 0).size() == 1)
        ++accounts;
    const auto above = partition(Inventory{}, makeRules(accounts), 1);
    EXPECT_GT(above.size(), 1U);
    EXPECT_EQ(partition(Inventory{}, makeRules(accounts - 1), above.size()).size(), above.size());
}

TEST(ConfigurationStore, AConflictReturnsTheSubmitterOfTheAcceptedVersion)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    objects.beforeNextRootChange([&] {
        ConfigurationStore other(objects.inner(), Timeout);
        other.submit(makeInventory(2), makeRules(1), 0, "winner");
    });
    const auto result = store.submit(makeInventory(3), makeRules(1), 0, "loser");
    const auto *conflict = std::get_if<Conflict>(&result);
    ASSERT_TRUE(conflict && conflict->current);
    const ConfigurationRoot root = decodeRoot(conflict->current->value);
    EXPECT_EQ(root.recordOf(1)->submitter, "winner");
    EXPECT_EQ(load(objects)->inventory(), makeInventory(2));
}

TEST(ConfigurationStore, AnAnswerLostAfterTheChangeIsResolvedByReadingBack)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    objects.setRootFault(FaultyStore::RootFault::LoseAnswer);
    EXPECT_EQ(appliedVersion(store.submit(makeInventory(1), makeRules(1), 0)), 1U);
    objects.setRootFault(FaultyStore::RootFault::LoseAnswer);
    EXPECT_EQ(appliedVersion(store.submit(makeInventory(2), makeRules(1), 1)), 2U);
    EXPECT_EQ(load(objects)->version(), 2U);
}

TEST(ConfigurationStore, ALostRequestHasAnUnknownOutcomeAndIsNotSubmittedTwice)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    objects.setRootFault(FaultyStore::RootFault::LoseCall);
    const auto result = store.submit(makeInventory(1), makeRules(1), 0);
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(result));
    EXPECT_FALSE(load(objects));
}

TEST(ConfigurationStore, RemovesPartsThatNoRecentRootReferences)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    for (std::uint64_t version = 0; version < 100; ++version) {
        Rules rules = makeRules(3);
        rules.clientAccounts[0].maxConcurrent = static_cast<std::uint32_t>(version % 2 + 1);
        ASSERT_EQ(appliedVersion(store.submit(makeInventory(2), rules, version)), version + 1);
        ASSERT_TRUE(load(objects));
    }
    EXPECT_LE(partCount(objects), 18U);
}

TEST(ConfigurationStore, ARemovalNeverDeletesAPartThatAConcurrentSubmissionReferences)
{
    FaultyStore objects;
    ConfigurationStore store(objects, Timeout);
    const auto rulesOf = [](std::uint64_t version) {
        Rules rules = makeRules(3);
        rules.clientAccounts[0].maxConcurrent = static_cast<std::uint32_t>(version % 20 + 1);
        return rules;
    };
    for (std::uint64_t version = 0; version < 60; ++version) {
        objects.beforeNextRootChange([&, version] {
            ConfigurationStore other(objects.inner(), Timeout);
            if (version % 3 != 0)
                other.submit(makeInventory(2), rulesOf(version + 3), version);
        });
        store.submit(makeInventory(2), rulesOf(version), version);
        const auto configuration = load(objects);
        ASSERT_TRUE(configuration) << version;
        ASSERT_EQ(configuration->version(), version + 1);
    }
}

} // namespace almondmill::test
