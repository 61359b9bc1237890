#include "accepted.h"
#include "commands.h"
#include "exitcode.h"
#include "options.h"
#include "output.h"
#include "routerclient.h"

#include "almondmill/kernel/error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace almondmill::cli {

namespace {

constexpr int MaxAttempts = 5; ///< Submissions of a change, counting retries after conflicts.

struct DrainOptions : Options
{
    std::string router;
    std::string endpoint;
    bool leaving = false;
};

int reportState(const DrainOptions &options, const std::string &target)
{
    const char *state = options.leaving ? "draining" : "not draining";
    if (options.json)
        printJson({{"target", target}, {"draining", options.leaving}});
    else
        std::cout << target << ": " << state << "\n";
    return ExitOk;
}

int drainRouter(const DrainOptions &options)
{
    if (!postCommand(options.router, options.leaving ? "/drain" : "/undrain"))
        throw Error("cli.101", "router " + options.router + " did not answer with status 200");
    return reportState(options, options.router);
}

Endpoint &findEndpoint(Inventory &inventory, const std::string &name)
{
    const auto found = std::find_if(inventory.endpoints.begin(), inventory.endpoints.end(),
                                    [&](const Endpoint &item) { return item.name == name; });
    if (found == inventory.endpoints.end())
        throw Error("cli.104", "endpoint '" + name + "' is not in the accepted inventory");
    return *found;
}

/// Sets `leaving` of the endpoint in the accepted inventory. If another submission was accepted
/// first, the change is retried on top of that one. A submission with an unknown outcome is not
/// retried, because it may have been applied.
int drainEndpoint(const DrainOptions &options)
{
    PlatformAccess access(options.platform);
    for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
        AcceptedConfiguration accepted = readAcceptedConfiguration(access.store());
        Endpoint &endpoint = findEndpoint(accepted.content.inventory, options.endpoint);
        if (endpoint.leaving == options.leaving)
            return reportState(options, options.endpoint);
        endpoint.leaving = options.leaving;
        const auto result =
                access.store().submit(accepted.content.inventory, accepted.content.rules,
                                      accepted.version, options.submitter);
        if (std::holds_alternative<Applied>(result))
            return reportState(options, options.endpoint);
        if (const auto *unknown = std::get_if<OutcomeUnknown>(&result)) {
            std::cerr << "almondmill: unknown: " << unknown->reason << "\n";
            return ExitUnknown;
        }
        if (const auto *refused = std::get_if<NotApplied>(&result))
            throw Error("cli.101", "change of the inventory not accepted: " + refused->reason);
    }
    std::cerr << "almondmill: gave up after " << MaxAttempts
              << " attempts: another submission was accepted first each time\n";
    return ExitConflict;
}

int drain(const DrainOptions &options)
{
    if (!options.router.empty())
        return drainRouter(options);
    if (options.endpoint.empty() || options.platform.empty())
        throw Error("cli.103",
                    "either --router, or --endpoint together with --platform is required");
    return drainEndpoint(options);
}

void addCommand(CLI::App &app, int &exitCode, const char *name, const char *description,
                bool leaving)
{
    auto options = std::make_shared<DrainOptions>();
    options->leaving = leaving;
    auto *command = app.add_subcommand(name, description);
    auto *router = command->add_option("--router", options->router,
                                       "IP:port of the operators' listener of the router");
    command->add_option("--endpoint", options->endpoint, "name of the endpoint")->excludes(router);
    command->add_option("--platform", options->platform, "base URL of the platform");
    options->addSubmitter(*command);
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = drain(*options); });
}

} // namespace

void addDrain(CLI::App &app, int &exitCode)
{
    addCommand(app, exitCode, "drain", "stop sending new requests to a router or an endpoint",
               true);
}

void addUndrain(CLI::App &app, int &exitCode)
{
    addCommand(app, exitCode, "undrain", "return a drained router or endpoint to service", false);
}

} // namespace almondmill::cli
