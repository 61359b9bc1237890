// The operators' command line.

#include "almondmill/config/configurationstore.h"
#include "almondmill/config/inventoryparser.h"
#include "almondmill/config/rulesparser.h"
#include "almondmill/config/textfile.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/kernel/inputerror.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/platform/httpplatform.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using namespace almondmill;

constexpr int ExitInvalidInput = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnavailable = 4;
constexpr std::chrono::milliseconds PlatformTimeout{5000};

struct ConfigurationFiles
{
    std::string inventory;
    std::string rules;
};

struct ParsedFiles
{
    Inventory inventory;
    Rules rules;
};

ParsedFiles parseFiles(const ConfigurationFiles &files)
{
    Findings findings;
    ParsedFiles parsed;
    parsed.inventory = parseInventory(readTextFile(files.inventory), files.inventory, findings);
    parsed.rules = parseRules(readTextFile(files.rules), files.rules, findings);
    if (!findings.empty())
        throw InputError("config.200", findings);
    return parsed;
}

int check(const ConfigurationFiles &files)
{
    const ParsedFiles parsed = parseFiles(files);
    std::cout << "valid: " << parsed.inventory.endpoints.size() << " endpoints, "
              << parsed.rules.clientAccounts.size() << " client accounts\n";
    return 0;
}

int submit(const ConfigurationFiles &files, const std::string &platform, std::uint64_t base)
{
    const ParsedFiles parsed = parseFiles(files);
    Metrics metrics;
    HttpPlatform store(platform, metrics);
    ConfigurationStore configurations(store, PlatformTimeout);
    const auto result = configurations.submit(parsed.inventory, parsed.rules, base);
    if (const auto *applied = std::get_if<Applied>(&result)) {
        std::cout << "accepted: version " << applied->version << "\n";
        return 0;
    }
    if (std::holds_alternative<Conflict>(result)) {
        std::cerr << "conflict: the version in force is not " << base << "\n";
        return ExitConflict;
    }
    std::cerr << "not accepted: the platform gave no answer\n";
    return ExitUnavailable;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("almondmill: edits inventory and rules, and reads back what is in force");
    app.require_subcommand(1);
    ConfigurationFiles files;
    std::string platform;
    std::uint64_t base = 0;
    auto *checkCommand = app.add_subcommand("check", "report all that is wrong in the files");
    auto *submitCommand = app.add_subcommand("submit", "submit the files as the next version");
    for (auto *command : {checkCommand, submitCommand}) {
        command->add_option("--inventory", files.inventory, "inventory in TOML")->required();
        command->add_option("--rules", files.rules, "rules in TOML")->required();
    }
    submitCommand->add_option("--platform", platform, "base URL of the platform")->required();
    submitCommand->add_option("--base", base, "version that the edit started from")->required();
    CLI11_PARSE(app, argc, argv);
    try {
        return checkCommand->parsed() ? check(files) : submit(files, platform, base);
    } catch (const Error &error) {
        std::cerr << "almondmill: " << error.what() << "\n";
        return ExitInvalidInput;
    }
}
