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
        throw Error("cli.101",
                    "router " + router + " did not answer with status 200 and a JSON object");
    printJson(*json);
    return ExitOk;
}

} // namespace

void addDump(CLI::App &app, int &exitCode)
{
    auto router = std::make_shared<std::string>();
    auto json = std::make_shared<bool>(true);
    auto *command = app.add_subcommand("dump", "print the state of a router as JSON");
    command->add_option("--router", *router, "IP:port of the operators' listener of the router")
            ->required();
    command->add_flag("--json", *json, "no effect: the output is always JSON");
    command->callback([router, json, &exitCode] { exitCode = dump(*router); });
}

} // namespace almondmill::cli
