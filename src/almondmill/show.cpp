#include "accepted.h"
#include "commands.h"
#include "exitcode.h"
#include "options.h"
#include "output.h"

#include "almondmill/config/tomlwriter.h"
#include "almondmill/kernel/error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace almondmill::cli {

namespace {

nlohmann::json toJson(const toml::table &table)
{
    std::ostringstream out;
    out << toml::json_formatter(table);
    return nlohmann::json::parse(out.str());
}

void write(const std::string &file, const std::string &heading, const toml::table &table)
{
    std::ofstream out(file);
    out << heading << table << "\n";
    if (!out.flush())
        throw Error("cli.102", "cannot write file " + file);
}

int show(const Options &options)
{
    PlatformAccess access(options.platform);
    const AcceptedConfiguration accepted = readAcceptedConfiguration(access.store());
    const toml::table inventory = inventoryTable(accepted.content.inventory);
    const toml::table rules = rulesTable(accepted.content.rules);
    if (options.json) {
        printJson({{"version", accepted.version},
                   {"submitter", accepted.submitter},
                   {"inventory", toJson(inventory)},
                   {"rules", toJson(rules)}});
        return ExitOk;
    }
    const std::string heading = "# version " + std::to_string(accepted.version) + ", submitted by "
                                + accepted.submitter + "\n";
    if (!options.inventory.empty())
        write(options.inventory, heading, inventory);
    if (!options.rules.empty())
        write(options.rules, heading, rules);
    if (options.inventory.empty() && options.rules.empty())
        std::cout << heading << "# inventory\n" << inventory << "\n\n# rules\n" << rules << "\n";
    else
        std::cout << "version " << accepted.version << "\n";
    return ExitOk;
}

} // namespace

void addShow(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("show", "print the accepted inventory and rules as TOML");
    options->addPlatform(*command);
    options->addJson(*command);
    command->add_option("--inventory", options->inventory, "write the inventory to this file");
    command->add_option("--rules", options->rules, "write the rules to this file");
    command->callback([options, &exitCode] { exitCode = show(*options); });
}

} // namespace almondmill::cli
