#include "commands.h"
#include "exitcode.h"
#include "options.h"
#include "output.h"

#include "almondmill/kernel/inputerror.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace almondmill::cli {

namespace {

int check(const Options &options)
{
    try {
        const ParsedConfiguration parsed = options.load();
        if (options.json)
            printJson({{"valid", true}, {"findings", nlohmann::json::array()}});
        else
            std::cout << "valid: " << parsed.inventory.endpoints.size() << " endpoints, "
                      << parsed.rules.clientAccounts.size() << " client accounts\n";
        return ExitOk;
    } catch (const InputError &error) {
        if (!options.json)
            throw;
        printJson({{"valid", false}, {"findings", toJson(error.findings())}});
        return ExitInvalidInput;
    }
}

} // namespace

void addCheck(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("check", "validate the files and report all findings");
    options->addFiles(*command);
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = check(*options); });
}

} // namespace almondmill::cli
