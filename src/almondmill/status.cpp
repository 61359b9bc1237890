#include "accepted.h"
#include "commands.h"
#include "exitcode.h"
#include "options.h"
#include "output.h"
#include "routerclient.h"

#include "almondmill/config/parallel.h"
#include "almondmill/kernel/error.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <mutex>
#include <optional>

namespace almondmill::cli {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxParallelCalls = 16;
constexpr std::uint16_t DefaultOperatorsPort = 9090;

struct StatusOptions : Options
{
    std::vector<std::string> routers;
    std::uint16_t operatorsPort = DefaultOperatorsPort;
};

/// State that one router reports.
struct RouterStatus
{
    std::string address;
    bool reached = false;
    std::uint64_t version = 0;
    std::uint64_t ageMs = 0;
    bool draining = false;
    std::string notInForceReason; ///< Why no configuration is in force; empty if one is.
    Json refused;                 ///< Version and findings of a refused configuration, or null.
};

RouterStatus readStatus(const std::string &address)
{
    RouterStatus status;
    status.address = address;
    const auto dump = readDump(address);
    if (!dump)
        return status;
    const Json configuration =
            dump->value("parts", Json::object()).value("configuration", Json::object());
    status.reached = true;
    status.version = dump->value("config_version", std::uint64_t{0});
    status.ageMs = configuration.value("age_ms", std::uint64_t{0});
    status.draining = dump->value("draining", false);
    status.refused = configuration.value("refused", Json());
    if (status.version == 0) {
        status.notInForceReason = "platform: " + configuration.value("platform_answer", "")
                                  + "; peers: " + configuration.value("peers_answer", "");
    }
    return status;
}

std::vector<RouterStatus> readStatuses(const std::vector<std::string> &addresses)
{
    std::mutex mutex;
    std::vector<RouterStatus> all;
    forEachInParallel(addresses, MaxParallelCalls, [&](const std::string &address) {
        auto status = readStatus(address);
        const std::lock_guard<std::mutex> lock(mutex);
        all.push_back(std::move(status));
    });
    std::sort(all.begin(), all.end(),
              [](const RouterStatus &a, const RouterStatus &b) { return a.address < b.address; });
    return all;
}

/// Returns the routers given on the command line, or those of the platform's VM list.
std::vector<std::string> routerAddresses(const StatusOptions &options)
{
    if (!options.routers.empty())
        return options.routers;
    if (options.platform.empty())
        throw Error("cli.103", "either --routers or --platform is required");
    PlatformAccess access(options.platform);
    const auto result = access.platform().vms(AnswerTimeout);
    if (const auto *unavailable = std::get_if<Unavailable>(&result))
        throw Error("cli.101", "cannot read the VM list: " + unavailable->reason);
    std::vector<std::string> addresses;
    for (const Vm &vm : std::get<std::vector<Vm>>(result)) {
        const std::string ip = vm.address.substr(0, vm.address.find(':'));
        addresses.push_back(ip + ":" + std::to_string(options.operatorsPort));
    }
    return addresses;
}

/// Returns the highest version in force at any router, which all routers should reach.
std::uint64_t newestVersion(const std::vector<RouterStatus> &all)
{
    std::uint64_t newest = 0;
    for (const RouterStatus &status : all)
        newest = std::max(newest, status.version);
    return newest;
}

bool isUpToDate(const RouterStatus &status, std::uint64_t newest)
{
    return status.reached && status.version == newest && status.version != 0
           && status.refused.is_null();
}

Json toJson(const RouterStatus &status, std::uint64_t newest)
{
    return {{"router", status.address},    {"reached", status.reached},
            {"version", status.version},   {"age_ms", status.ageMs},
            {"draining", status.draining}, {"waits_for", status.notInForceReason},
            {"refused", status.refused},   {"behind", status.version < newest}};
}

void print(const RouterStatus &status, std::uint64_t newest)
{
    std::cout << status.address << ": ";
    if (!status.reached) {
        std::cout << "not reached\n";
        return;
    }
    std::cout << "version " << status.version << ", in force for " << status.ageMs / 1000 << " s";
    if (status.version < newest)
        std::cout << ", behind";
    if (status.draining)
        std::cout << ", draining";
    if (!status.notInForceReason.empty())
        std::cout << ", no configuration in force (" << status.notInForceReason << ")";
    std::cout << "\n";
    if (status.refused.is_null())
        return;
    std::cout << "  refuses version " << status.refused.value("version", 0) << ":\n";
    for (const Json &finding : status.refused.value("findings", Json::array()))
        std::cout << "    " << finding.get<std::string>() << "\n";
}

/// Returns the version of the accepted configuration, or nothing if no platform is given or its
/// configuration root cannot be read.
std::optional<std::uint64_t> acceptedVersion(const StatusOptions &options)
{
    if (options.platform.empty())
        return std::nullopt;
    PlatformAccess access(options.platform);
    const RootResult result = access.store().readRoot();
    const auto *stored = std::get_if<StoredRoot>(&result);
    return stored ? std::optional(stored->root.version) : std::nullopt;
}

void printStatusJson(const StatusOptions &options, const std::vector<RouterStatus> &all,
                     std::uint64_t newest)
{
    Json list = Json::array();
    for (const RouterStatus &router : all)
        list.push_back(toJson(router, newest));
    const auto accepted = acceptedVersion(options);
    printJson({{"accepted_version", accepted ? Json(*accepted) : Json()},
               {"newest_version", newest},
               {"routers", list}});
}

/// Prints the accepted version. Returns whether it can come into force: routers never go back to a
/// version that is lower than the one in force.
bool printAcceptedVersion(const StatusOptions &options, std::uint64_t newest)
{
    const auto accepted = acceptedVersion(options);
    if (!accepted) {
        std::cout << "the platform has no readable configuration root\n";
        return false;
    }
    std::cout << "accepted: version " << *accepted << "\n";
    if (*accepted >= newest)
        return true;
    std::cout << "the accepted version is older than version " << newest
              << " in force at the routers; see 'almondmill submit --repair'\n";
    return false;
}

int status(const StatusOptions &options)
{
    const auto all = readStatuses(routerAddresses(options));
    const std::uint64_t newest = newestVersion(all);
    const bool allUpToDate = std::all_of(all.begin(), all.end(), [&](const RouterStatus &router) {
        return isUpToDate(router, newest);
    });
    if (options.json) {
        printStatusJson(options, all, newest);
        return allUpToDate ? ExitOk : ExitDiffers;
    }
    const bool rootIsCurrent = options.platform.empty() || printAcceptedVersion(options, newest);
    for (const RouterStatus &router : all)
        print(router, newest);
    return allUpToDate && rootIsCurrent ? ExitOk : ExitDiffers;
}

} // namespace

void addStatus(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<StatusOptions>();
    auto *command =
            app.add_subcommand("status", "show the configuration version in force at each router");
    command->add_option("--routers", options->routers,
                        "IP:port of the operators' listeners of the routers, separated by commas")
            ->delimiter(',');
    command->add_option(
            "--platform", options->platform,
            "base URL of the platform, which gives the accepted version and, without --routers, "
            "the VM list with the routers");
    command->add_option("--operators-port", options->operatorsPort,
                        "port of the operators' listeners of the routers in the VM list")
            ->capture_default_str();
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = status(*options); });
}

} // namespace almondmill::cli
