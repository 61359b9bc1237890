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

struct SubmitOptions : Options
{
    std::uint64_t base = 0;
    bool repair = false;
};

int reportApplied(const SubmitOptions &options, std::uint64_t version)
{
    if (options.json)
        printJson({{"result", "accepted"}, {"version", version}});
    else
        std::cout << "accepted: version " << version << "\n";
    return ExitOk;
}

/// Reports the submitter of the accepted version and how the files differ from that version.
int reportConflict(const SubmitOptions &options, const ParsedConfiguration &files,
                   ConfigurationStore &store)
{
    const AcceptedConfiguration accepted = readAcceptedConfiguration(store);
    const auto changes = diffConfigurations(accepted.content, files);
    if (options.json) {
        printJson({{"result", "conflict"},
                   {"base", options.base},
                   {"version", accepted.version},
                   {"submitter", accepted.submitter},
                   {"changes", toJson(changes)}});
        return ExitConflict;
    }
    std::cout << "conflict: version " << accepted.version << " of " << accepted.submitter
              << " is accepted, not version " << options.base << "; the files differ from it in:\n";
    printChanges(changes);
    return ExitConflict;
}

int reportFailure(const SubmitOptions &options, const char *result, const std::string &reason,
                  int exitCode)
{
    if (options.json)
        printJson({{"result", result}, {"reason", reason}});
    else
        std::cerr << "almondmill: " << result << ": " << reason << "\n";
    return exitCode;
}

UpdateResult send(const SubmitOptions &options, const ParsedConfiguration &files,
                  ConfigurationStore &store)
{
    if (options.repair)
        return store.repair(files.inventory, files.rules, options.base, options.submitter);
    return store.submit(files.inventory, files.rules, options.base, options.submitter);
}

int submit(const SubmitOptions &options)
{
    const ParsedConfiguration files = options.load();
    PlatformAccess access(options.platform);
    const auto result = send(options, files, access.store());
    if (const auto *applied = std::get_if<Applied>(&result))
        return reportApplied(options, applied->version);
    if (std::holds_alternative<Conflict>(result))
        return reportConflict(options, files, access.store());
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&result))
        return reportFailure(options, "unknown", unknown->reason + "; see 'almondmill show' later",
                             ExitUnknown);
    return reportFailure(options, "not accepted", std::get<NotApplied>(result).reason,
                         ExitUnavailable);
}

} // namespace

void addSubmit(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<SubmitOptions>();
    auto *command = app.add_subcommand("submit", "submit the files as the next version");
    options->addFiles(*command);
    options->addPlatform(*command);
    options->addSubmitter(*command);
    options->addJson(*command);
    command->add_option("--base", options->base, "version that the files are based on")->required();
    command->add_flag("--repair", options->repair,
                      "replace a configuration root that is damaged, missing or older than --base; "
                      "--base is the version in force at the routers");
    command->callback([options, &exitCode] { exitCode = submit(*options); });
}

} // namespace almondmill::cli
