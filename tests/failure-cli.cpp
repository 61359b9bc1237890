#include "support/commandline.h"
#include "support/loopback.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include "almondmill/config/configurationstore.h"
#include "almondmill/config/textfile.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>

namespace almondmill::test {

namespace {

using Json = nlohmann::json;
using testing::HasSubstr;

constexpr std::chrono::milliseconds Timeout{1000};

/// Temporary folder with inventory.toml and rules.toml. The destructor removes it.
class ConfigurationFiles
{
public:
    ConfigurationFiles()
        : m_folder("/tmp/almondmill-cli-" + nextLoopbackAddress())
    {
        std::filesystem::create_directories(m_folder);
        copySample("rietwerk");
    }
    ~ConfigurationFiles() { std::filesystem::remove_all(m_folder); }
    ConfigurationFiles(const ConfigurationFiles &) = delete;
    ConfigurationFiles &operator=(const ConfigurationFiles &) = delete;

    std::string inventory() const { return m_folder + "/inventory.toml"; }
    std::string rules() const { return m_folder + "/rules.toml"; }
    std::string options() const { return " --inventory " + inventory() + " --rules " + rules(); }

    void copySample(const std::string &name) const
    {
        const std::string from = std::string(ALMONDMILL_SOURCE_DIR) + "/examples/" + name;
        const auto overwrite = std::filesystem::copy_options::overwrite_existing;
        std::filesystem::copy_file(from + "/inventory.toml", inventory(), overwrite);
        std::filesystem::copy_file(from + "/rules.toml", rules(), overwrite);
    }

    void appendToRules(const std::string &text) const
    {
        std::ofstream(rules(), std::ios::app) << text;
    }

private:
    std::string m_folder;
};

/// Platform stand-in with its own address.
struct Platform
{
    Platform()
        : address(nextLoopbackAddress() + ":9500")
        , server(address)
    {}

    std::string option() const { return " --platform http://" + address; }

    std::string address;
    standin::PlatformServer server;
};

} // namespace

TEST(CommandLine, CheckReportsAllFindingsAndExitsNonZero)
{
    const ConfigurationFiles files;
    EXPECT_EQ(runAlmondmill("check" + files.options()).exitCode, 0);
    files.appendToRules("\n[[client_account]]\nname = \"x y\"\ncolour = 1\n");
    const auto text = runAlmondmill("check" + files.options());
    EXPECT_EQ(text.exitCode, 2);
    EXPECT_THAT(text.output, HasSubstr("client_account[8].colour"));
    EXPECT_THAT(text.output, HasSubstr("client_account[8].key_sha256"));
    EXPECT_THAT(text.output, HasSubstr("client_account[8].name"));
    const auto json = runAlmondmill("check --json" + files.options());
    EXPECT_EQ(json.exitCode, 2);
    EXPECT_EQ(Json::parse(json.output)["findings"].size(), 3U);
}

TEST(CommandLine, ShownConfigurationCanBeSubmittedAgain)
{
    const Platform platform;
    const ConfigurationFiles files;
    const auto submitted =
            runAlmondmill("submit --base 0 --as ann" + files.options() + platform.option());
    EXPECT_EQ(submitted.exitCode, 0) << submitted.output;
    EXPECT_THAT(submitted.output, HasSubstr("accepted: version 1"));
    const ConfigurationFiles shown;
    EXPECT_EQ(runAlmondmill("show" + shown.options() + platform.option()).exitCode, 0);
    EXPECT_THAT(readTextFile(shown.rules()), HasSubstr("# version 1, submitted by ann"));
    EXPECT_EQ(runAlmondmill("diff" + shown.options() + platform.option()).exitCode, 0);
    EXPECT_EQ(runAlmondmill("submit --base 1" + shown.options() + platform.option()).exitCode, 0);
    const auto json = runAlmondmill("show --json" + platform.option());
    EXPECT_EQ(Json::parse(json.output)["version"], 2);
}

TEST(CommandLine, ALostRaceReportsSubmitterAndDifferences)
{
    const Platform platform;
    const ConfigurationFiles files;
    ASSERT_EQ(runAlmondmill("submit --base 0 --as ann" + files.options() + platform.option())
                      .exitCode,
              0);
    files.appendToRules("\n[[client_account]]\nname = \"new\"\nkey_sha256 = \""
                        + std::string(64, 'a') + "\"\n");
    const auto lost =
            runAlmondmill("submit --base 0 --as ben" + files.options() + platform.option());
    EXPECT_EQ(lost.exitCode, 3);
    EXPECT_THAT(lost.output, HasSubstr("version 1 of ann"));
    EXPECT_THAT(lost.output, HasSubstr("+ client_account new"));
    const auto json = runAlmondmill("submit --json --base 0" + files.options() + platform.option());
    EXPECT_EQ(Json::parse(json.output)["submitter"], "ann");
}

TEST(CommandLine, DiffListsChangedKeysOfEachEntry)
{
    const Platform platform;
    const ConfigurationFiles files;
    runAlmondmill("submit --base 0" + files.options() + platform.option());
    runAlmondmill("drain --endpoint booking-1" + platform.option());
    const auto diff = runAlmondmill("diff" + files.options() + platform.option());
    EXPECT_EQ(diff.exitCode, 1);
    EXPECT_THAT(diff.output, HasSubstr("~ endpoint booking-1: leaving true -> (none)"));
}

TEST(CommandLine, SubmissionWithLostAnswerIsAcceptedOnce)
{
    Platform platform;
    const ConfigurationFiles files;
    runAlmondmill("submit --base 0" + files.options() + platform.option());
    files.copySample("kodaikkal");
    platform.server.setFault(standin::FaultMode::LoseAnswer);
    const auto result = runAlmondmill("submit --base 1" + files.options() + platform.option());
    platform.server.setFault(standin::FaultMode::None);
    EXPECT_EQ(result.exitCode, 0) << result.output;
    const auto shown = runAlmondmill("show --json" + platform.option());
    EXPECT_EQ(Json::parse(shown.output)["version"], 2);
}

TEST(CommandLine, PlatformOutageIsReportedAndChangesNothing)
{
    Platform platform;
    const ConfigurationFiles files;
    platform.server.setFault(standin::FaultMode::Outage);
    EXPECT_EQ(runAlmondmill("submit --base 0" + files.options() + platform.option()).exitCode, 4);
    EXPECT_EQ(runAlmondmill("show" + platform.option()).exitCode, 4);
    platform.server.setFault(standin::FaultMode::None);
    EXPECT_EQ(Json::parse(runAlmondmill("show --json" + platform.option()).output)["version"], 0);
}

TEST(CommandLine, StatusShowsVersionsAndUnreachableRouters)
{
    Site site(1, 0);
    const RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const std::string address = router.operatorsUrl().substr(7);
    const auto fine = runAlmondmill("status --json --routers " + address);
    EXPECT_EQ(fine.exitCode, 0) << fine.output;
    EXPECT_EQ(Json::parse(fine.output)["routers"][0]["version"], 1);
    const std::string unreachable = nextLoopbackAddress() + ":9090";
    const auto one = runAlmondmill("status --routers " + address + "," + unreachable);
    EXPECT_EQ(one.exitCode, 1);
    EXPECT_THAT(one.output, HasSubstr(unreachable + ": not reached"));
    EXPECT_EQ(runAlmondmill("dump --router " + address).exitCode, 0);
    EXPECT_EQ(runAlmondmill("drain --router " + address).exitCode, 0);
    EXPECT_THAT(runAlmondmill("status --routers " + address).output, HasSubstr("draining"));
    EXPECT_EQ(runAlmondmill("undrain --router " + address).exitCode, 0);
    EXPECT_EQ(runAlmondmill("dump --router " + unreachable).exitCode, 4);
}

TEST(CommandLine, StatusShowsRefusedConfiguration)
{
    Site site(1, 0);
    const RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    Rules rules = site.rules();
    rules.placementPolicy = "by-hand";
    ConfigurationStore store(site.platform().store(), Timeout);
    store.submit(site.inventory(), rules, 1);
    const std::string status = "status --routers " + router.operatorsUrl().substr(7);
    EXPECT_TRUE(waitUntil([&] { return runAlmondmill(status).exitCode == 1; }));
    const auto shown = runAlmondmill(status);
    EXPECT_THAT(shown.output, HasSubstr("version 1, in force"));
    EXPECT_THAT(shown.output, HasSubstr("refuses version 2"));
    EXPECT_THAT(shown.output, HasSubstr("'by-hand' is not known"));
}

TEST(CommandLine, RepairReplacesDamagedOrOutdatedRoot)
{
    Platform platform;
    const ConfigurationFiles files;
    const std::string options = files.options() + platform.option();
    ASSERT_EQ(runAlmondmill("submit --base 0" + options).exitCode, 0);
    EXPECT_EQ(runAlmondmill("submit --repair --base 1" + options).exitCode, 3);
    auto &store = platform.server.store();
    const auto version = std::get<StoredObject>(store.read(RootName, Timeout)).version;
    store.update(RootName, "not a root", version, Timeout);
    EXPECT_EQ(runAlmondmill("submit --base 1" + options).exitCode, 4);
    EXPECT_THAT(runAlmondmill("submit --repair --base 1" + options).output,
                HasSubstr("accepted: version 2"));
    EXPECT_THAT(runAlmondmill("submit --repair --base 9" + options).output,
                HasSubstr("accepted: version 10"));
    EXPECT_EQ(runAlmondmill("diff" + options).exitCode, 0);
}

TEST(CommandLine, StatusWarnsWhenAcceptedVersionIsOlderThanVersionInForce)
{
    Site site(1, 0);
    const RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const std::string status = "status --platform " + site.platformUrl() + " --routers "
                               + router.operatorsUrl().substr(7);
    EXPECT_THAT(runAlmondmill(status).output, HasSubstr("accepted: version 1"));
    auto &store = site.platform().store();
    const auto old = std::get<StoredObject>(store.read(RootName, Timeout));
    const std::uint64_t version = site.submit();
    ASSERT_TRUE(waitUntil([&] {
        const auto json = runAlmondmill("status --json" + status.substr(6)).output;
        return Json::parse(json)["newest_version"] == version;
    }));
    const auto current = std::get<StoredObject>(store.read(RootName, Timeout));
    store.update(RootName, old.value, current.version, Timeout);
    const auto shown = runAlmondmill(status);
    EXPECT_EQ(shown.exitCode, 1);
    EXPECT_THAT(shown.output, HasSubstr("older than version 2 in force"));
}

TEST(CommandLine, InvalidArgumentsGiveExitCodeTwo)
{
    EXPECT_EQ(runAlmondmill("").exitCode, 2);
    EXPECT_EQ(runAlmondmill("check --inventory nowhere.toml --rules nowhere.toml").exitCode, 2);
    EXPECT_EQ(runAlmondmill("drain").exitCode, 2);
    const auto help = runAlmondmill("--help");
    EXPECT_EQ(help.exitCode, 0);
    EXPECT_THAT(help.output, HasSubstr("Exit codes"));
}

} // namespace almondmill::test
