#include "accepted.h"
#include "commands.h"
#include "exitcode.h"
#include "options.h"
#include "output.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace almondmill::cli {

namespace {

int diff(const Options &options)
{
    const ParsedConfiguration files = options.load();
    PlatformAccess access(options.platform);
    const AcceptedConfiguration accepted = readAcceptedConfiguration(access.store());
    const auto changes = diffConfigurations(accepted.content, files);
    if (options.json) {
        printJson({{"version", accepted.version}, {"changes", toJson(changes)}});
    } else {
        std::cout << "compared with version " << accepted.version << ": " << changes.size()
                  << " entries differ\n";
        printChanges(changes);
    }
    return changes.empty() ? ExitOk : ExitDiffers;
}

} // namespace

void addDiff(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<Options>();
    auto *command = app.add_subcommand("diff", "compare the files with the accepted configuration");
    options->addFiles(*command);
    options->addPlatform(*command);
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = diff(*options); });
}

} // namespace almondmill::cli
