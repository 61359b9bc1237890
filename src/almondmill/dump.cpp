#include "commands.h"
#include "exitcode.h"
#include "output.h"
#include "routerclient.h"

#include "almondmill/kernel/error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

namespace almondmill::cli {

namespace {

int dump(const std::string &router)
{
    const auto json = readDump(router);
    if (!json)
        throw Error("cli.101", router + " gave no answer");
    printJson(*json);
    return ExitOk;
}

} // namespace

void addDump(CLI::App &app, int &exitCode)
{
    auto router = std::make_shared<std::string>();
    auto json = std::make_shared<bool>(true);
    auto *command = app.add_subcommand("dump", "print the state of a router as JSON");
    command->add_option("--router", *router, "operators' listener as IP:port")->required();
    command->add_flag("--json", *json, "the output is JSON with and without it");
    command->callback([router, json, &exitCode] { exitCode = dump(*router); });
}

} // namespace almondmill::cli
