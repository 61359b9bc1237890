#include "almondmill/config/configurationfiles.h"
#include "almondmill/config/settings.h"
#include "almondmill/config/textfile.h"
#include "almondmill/kernel/findings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

const std::string Key(64, 'a');

/// Returns each finding formatted as "line key id".
std::vector<std::string> findingLocations(const std::string &inventory, const std::string &rules)
{
    Findings findings;
    parseConfiguration({"inventory.toml", inventory}, {"rules.toml", rules}, findings);
    std::vector<std::string> result;
    for (const Finding &finding : findings.items())
        result.push_back(std::to_string(finding.line) + " " + finding.key + " " + finding.id);
    return result;
}

std::string sample(const std::string &file)
{
    return std::string(ALMONDMILL_SOURCE_DIR) + "/examples/" + file;
}

} // namespace

TEST(ConfigurationChecker, ReportsAllFindingsOfAnInventoryWithTheirLines)
{
    const std::string inventory = R"([[data_centre]]
name = "a"
[[data_centre]]
name = "a"
[[model]]
name = "reed"
weights = "w1"
block_tokens = "2000"
[[service]]
name = "booking"
path_prefix = "/v1/"
not_repeatable = ["BOOK /v1/x", "POST /other"]
[[service]]
name = "records"
path_prefix = "records"
colour = "red"
[[endpoint]]
name = "one"
address = "localhost:8000"
data_centre = "b"
model = "read"
[[endpoint]]
name = "two"
address = "10.0.0.1:8000"
data_centre = "a"
service = "bookings"
[[endpoint]]
name = "two"
address = "10.0.0.1:8000"
data_centre = "a"
model = "reed"
service = "booking"
)";
    EXPECT_THAT(findingLocations(inventory, {}),
                testing::UnorderedElementsAre(
                        "8 model[0].block_tokens config.203", "16 service[1].colour config.202",
                        "4 data_centre[1].name config.221", "11 service[0].path_prefix config.224",
                        "12 service[0].not_repeatable config.225",
                        "12 service[0].not_repeatable config.225",
                        "15 service[1].path_prefix config.224", "19 endpoint[0].address config.223",
                        "20 endpoint[0].data_centre config.222", "21 endpoint[0].model config.222",
                        "26 endpoint[1].service config.222", "28 endpoint[2].name config.221",
                        "28 endpoint[2].name config.210", "29 endpoint[2].address config.221"));
}

TEST(ConfigurationChecker, ReportsAllFindingsOfRules)
{
    const std::string rules = "[[client_account]]\nname = \"a\"\nkey_sha256 = \"" + Key
                              + "\"\n[[client_account]]\nname = \"a\"\nkey_sha256 = \"" + Key
                              + "\"\nshare = 0\n[[client_account]]\nname = \"b c\"\n"
                                "key_sha256 = \"ABC\"\npriority = \"urgent\"\n"
                                "[[client_account]]\nname = \"d\"\n"
                                "[placement]\npolicy = \"by-hand\"\n";
    EXPECT_THAT(findingLocations({}, rules),
                testing::UnorderedElementsAre("5 client_account[1].name config.221",
                                              "6 client_account[1].key_sha256 config.221",
                                              "7 client_account[1].share config.204",
                                              "9 client_account[2].name config.220",
                                              "10 client_account[2].key_sha256 config.226",
                                              "11 client_account[2].priority config.211",
                                              "12 client_account[3].key_sha256 config.201",
                                              "15 placement.policy config.227"));
}

TEST(ConfigurationChecker, UnknownPolicyListsTheKnownOnes)
{
    Findings findings;
    parseConfiguration({"i", {}}, {"r", "[placement]\npolicy = \"by-hand\"\n"}, findings);
    EXPECT_THAT(findings.text(), testing::HasSubstr("rendezvous"));
}

TEST(ConfigurationChecker, ReportsSyntaxErrorsOfBothFiles)
{
    EXPECT_THAT(findingLocations("name = = 1", "\n[[client_account"),
                testing::ElementsAre("1  config.207", "2  config.207"));
}

TEST(ConfigurationChecker, AcceptsTheSamplesOfBothDeploymentsAtTheirSizes)
{
    const auto rietwerk = loadConfigurationFiles(sample("rietwerk/inventory.toml"),
                                                 sample("rietwerk/rules.toml"));
    EXPECT_EQ(rietwerk.inventory.dataCentres.size(), 4U);
    EXPECT_EQ(rietwerk.inventory.endpoints.size(), 18U + 4U);
    EXPECT_EQ(rietwerk.rules.clientAccounts.size(), 8U);
    const auto kodaikkal = loadConfigurationFiles(sample("kodaikkal/inventory.toml"),
                                                  sample("kodaikkal/rules.toml"));
    EXPECT_EQ(kodaikkal.inventory.endpoints.size(), 9U + 4U);
    EXPECT_EQ(kodaikkal.inventory.models.front().maxConcurrentLoads, 2U);
    EXPECT_EQ(loadSettings(sample("rietwerk/router.toml")).seeds.size(), 4U);
    EXPECT_EQ(loadSettings(sample("kodaikkal/router.toml")).seeds.size(), 4U);
}

} // namespace almondmill::test
