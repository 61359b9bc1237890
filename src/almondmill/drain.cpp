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

constexpr int MostAttempts = 5; ///< Against submissions that come first.

struct DrainOptions : Options
{
    std::string router;
    std::string endpoint;
    bool leaving = false;
};

int report(const DrainOptions &options, const std::string &what)
{
    const char *state = options.leaving ? "draining" : "not draining";
    if (options.json)
        printJson({{"target", what}, {"draining", options.leaving}});
    else
        std::cout << what << ": " << state << "\n";
    return ExitOk;
}

int drainRouter(const DrainOptions &options)
{
    if (!sendOrder(options.router, options.leaving ? "/drain" : "/undrain"))
        throw Error("cli.101", options.router + " gave no answer");
    return report(options, options.router);
}

Endpoint &findEndpoint(Inventory &inventory, const std::string &name)
{
    const auto found = std::find_if(inventory.endpoints.begin(), inventory.endpoints.end(),
                                    [&](const Endpoint &item) { return item.name == name; });
    if (found == inventory.endpoints.end())
        throw Error("cli.104", "endpoint '" + name + "' is not in the accepted inventory");
    return *found;
}

/// Sets the endpoint's `leaving` in the accepted inventory. The change is made again on top of a
/// submission that came first; one whose outcome is not known is never made again.
int drainEndpoint(const DrainOptions &options)
{
    PlatformAccess access(options.platform);
    for (int attempt = 0; attempt < MostAttempts; ++attempt) {
        AcceptedConfiguration accepted = readAccepted(access.store());
        Endpoint &endpoint = findEndpoint(accepted.content.inventory, options.endpoint);
        if (endpoint.leaving == options.leaving)
            return report(options, options.endpoint);
        endpoint.leaving = options.leaving;
        const auto result =
                access.store().submit(accepted.content.inventory, accepted.content.rules,
                                      accepted.version, options.submitter);
        if (std::holds_alternative<Applied>(result))
            return report(options, options.endpoint);
        if (const auto *unknown = std::get_if<OutcomeUnknown>(&result)) {
            std::cerr << "almondmill: unknown: " << unknown->reason << "\n";
            return ExitUnknown;
        }
        if (const auto *refused = std::get_if<NotApplied>(&result))
            throw Error("cli.101", "not accepted: " + refused->reason);
    }
    std::cerr << "almondmill: other submissions came first each time\n";
    return ExitConflict;
}

int drain(const DrainOptions &options)
{
    if (!options.router.empty())
        return drainRouter(options);
    if (options.endpoint.empty() || options.platform.empty())
        throw Error("cli.103", "name a --router, or an --endpoint and the --platform");
    return drainEndpoint(options);
}

void add(CLI::App &app, int &exitCode, const char *name, const char *description, bool leaving)
{
    auto options = std::make_shared<DrainOptions>();
    options->leaving = leaving;
    auto *command = app.add_subcommand(name, description);
    auto *router = command->add_option("--router", options->router,
                                       "a router, by its operators' listener as IP:port");
    command->add_option("--endpoint", options->endpoint, "an endpoint, by its name")
            ->excludes(router);
    command->add_option("--platform", options->platform, "base URL of the platform");
    options->addSubmitter(*command);
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = drain(*options); });
}

} // namespace

void addDrain(CLI::App &app, int &exitCode)
{
    add(app, exitCode, "drain", "give a router or an endpoint no new work", true);
}

void addUndrain(CLI::App &app, int &exitCode)
{
    add(app, exitCode, "undrain", "give a router or an endpoint work again", false);
}

} // namespace almondmill::cli
