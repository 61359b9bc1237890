#include "almondmill/forward/forwardersettings.h"

#include "almondmill/config/textfile.h"
#include "almondmill/http/memorylimits.h"
#include "almondmill/kernel/inputerror.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <regex>

namespace almondmill::test {

namespace {

constexpr const char *ValidSettings = R"(
name = "front-1"
data_centre = "a"
[forwarding]
adapter = "rietwerk"
store = "10.0.0.1:80"
callers_listen = "10.0.0.2:81"
ready_listen = "10.0.0.2:82"
peers_listen = "10.0.0.2:83"
[forwarding.bounds]
retry_share = 0.25
shutdown_grace = "8s"
)";

std::string findingsOf(const std::string &text)
{
    try {
        parseForwarderSettings(text, "router.toml");
    } catch (const InputError &error) {
        return error.findings().text();
    }
    return {};
}

std::string withReplacement(const std::string &text, const std::string &from, const std::string &to)
{
    std::string result = text;
    result.replace(result.find(from), from.size(), to);
    return result;
}

} // namespace

TEST(ForwarderSettings, ReadsTheGivenKeysAndKeepsOtherDefaults)
{
    const auto settings = parseForwarderSettings(ValidSettings, "router.toml");
    EXPECT_EQ(settings.store, "10.0.0.1:80");
    EXPECT_DOUBLE_EQ(settings.retryBudgetRatio, 0.25);
    EXPECT_EQ(settings.shutdownGrace, std::chrono::seconds(8));
    EXPECT_EQ(settings.drainDeadline, ForwarderSettings().drainDeadline);
    EXPECT_TRUE(hasForwarderSettings(ValidSettings));
    EXPECT_FALSE(hasForwarderSettings("name = \"x\"\n"));
}

// Guards against a limit of memory that a single request of the largest size exceeds.
TEST(ForwarderSettings, ReportsAMemoryLimitThatIsTooSmallForOneRequest)
{
    const auto withMemory = [](const std::string &megabytes) {
        return withReplacement(ValidSettings, "[forwarding.bounds]",
                               "max_memory = " + megabytes + "\n[forwarding.bounds]");
    };
    EXPECT_NE(findingsOf(withMemory("48")).find("forwarding.max_memory: too small"),
              std::string::npos);
    EXPECT_EQ(findingsOf(withMemory("96")), "");
    EXPECT_EQ(parseForwarderSettings(ValidSettings, "router.toml").memoryForCallers(),
              MemoryLimits::Unlimited);
}

TEST(ForwarderSettings, ReportsEveryFindingWithItsPlace)
{
    std::string text = withReplacement(ValidSettings, "\"rietwerk\"", "\"elsewhere\"");
    text = withReplacement(text, "store = \"10.0.0.1:80\"", "store = \"nowhere\"");
    text = withReplacement(text, "\"8s\"", "8");
    text += "unknown = 1\n";
    const std::string findings = findingsOf(text);
    EXPECT_NE(findings.find("router.toml:5: forwarding.adapter"), std::string::npos) << findings;
    EXPECT_NE(findings.find("forwarding.store"), std::string::npos) << findings;
    EXPECT_NE(findings.find("forwarding.bounds.shutdown_grace"), std::string::npos) << findings;
    EXPECT_NE(findings.find("forwarding.bounds.unknown"), std::string::npos) << findings;
}

TEST(ForwarderSettings, AMissingKeyIsNamed)
{
    const std::string findings =
            findingsOf(withReplacement(ValidSettings, "peers_listen = \"10.0.0.2:83\"\n", ""));
    EXPECT_NE(findings.find("forwarding.peers_listen"), std::string::npos) << findings;
}

TEST(ForwarderSettings, TheDeployedTemplateYieldsSettings)
{
    std::string text =
            readTextFile(std::string(ALMONDMILL_SOURCE_DIR) + "/deploy/router.toml.template");
    const std::vector<std::pair<std::string, std::string>> placeholderValues{
            {"listen.front", "10.1.0.1:80"},
            {"listen.ready", "10.1.0.1:81"},
            {"listen.control", "10.1.0.1:82"},
            {"platform.address", "10.1.0.2:80"},
            {"ip", "10.1.0.1"},
            {"internal_ports.0", "7340"},
            {"limits.max_fds", "2940"},
            {"bounds.retry_budget_ratio", "0.2"}};
    for (const auto &[name, value] : placeholderValues) {
        std::string placeholder = "\\{\\{";
        placeholder += name;
        placeholder += "\\}\\}";
        text = std::regex_replace(text, std::regex(placeholder), value);
    }
    text = std::regex_replace(text, std::regex("\\{\\{[^}]*\\}\\}"), "12");
    const auto settings = parseForwarderSettings(text, "template");
    EXPECT_EQ(settings.peersListen, "10.1.0.1:7340");
    EXPECT_EQ(settings.maxDescriptors, 2940U);
    // The deploy file states the memory of the VM in the environment.
    setenv("ALMONDMILL_MAX_MEMORY", "96", 1);
    EXPECT_EQ(parseForwarderSettings(text, "template").maxMemoryMb, 96U);
    setenv("ALMONDMILL_MAX_MEMORY", "16", 1);
    EXPECT_EQ(parseForwarderSettings(text, "template").maxMemoryMb, 0U);
    unsetenv("ALMONDMILL_MAX_MEMORY");
}

TEST(PlatformNames, AreNotUsedOutsideThePlatformAdapter)
{
    const std::regex names("Expect-Instance|Server-Signature|Kv-Fetch-From|/v1/objects|"
                           "fencing_token|kv_capacity_tokens|api_keys|Not-Executed|\\bborn\\b");
    const std::filesystem::path root(ALMONDMILL_SOURCE_DIR);
    for (const char *folder : {"src", "include"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!entry.is_regular_file())
                continue;
            const std::string text = readTextFile(entry.path().string());
            EXPECT_FALSE(std::regex_search(text, names)) << entry.path();
        }
    }
}

} // namespace almondmill::test
