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

constexpr std::size_t MostParallelCalls = 16;
constexpr std::uint16_t DefaultOperatorsPort = 9090;

struct StatusOptions : Options
{
    std::vector<std::string> routers;
    std::uint16_t operatorsPort = DefaultOperatorsPort;
};

/// What one router says of itself.
struct RouterStatus
{
    std::string address;
    bool reached = false;
    std::uint64_t version = 0;
    std::uint64_t ageMs = 0;
    bool draining = false;
    std::string waitsFor; ///< Why nothing is in force, where that is so.
    Json refused;         ///< Version and findings, or null.
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
        status.waitsFor = "platform: " + configuration.value("platform_answer", "")
                          + "; peers: " + configuration.value("peers_answer", "");
    }
    return status;
}

std::vector<RouterStatus> readAll(const std::vector<std::string> &addresses)
{
    std::mutex mutex;
    std::vector<RouterStatus> all;
    forEachInParallel(addresses, MostParallelCalls, [&](const std::string &address) {
        auto status = readStatus(address);
        const std::lock_guard<std::mutex> lock(mutex);
        all.push_back(std::move(status));
    });
    std::sort(all.begin(), all.end(),
              [](const RouterStatus &a, const RouterStatus &b) { return a.address < b.address; });
    return all;
}

/// The routers named, or else those of the VM list.
std::vector<std::string> routerAddresses(const StatusOptions &options)
{
    if (!options.routers.empty())
        return options.routers;
    if (options.platform.empty())
        throw Error("cli.103", "status needs --routers or --platform");
    PlatformAccess access(options.platform);
    const auto result = access.platform().vms(AnswerTimeout);
    if (const auto *unavailable = std::get_if<Unavailable>(&result))
        throw Error("cli.101", "the VM list can't be read: " + unavailable->reason);
    std::vector<std::string> addresses;
    for (const Vm &vm : std::get<std::vector<Vm>>(result)) {
        const std::string ip = vm.address.substr(0, vm.address.find(':'));
        addresses.push_back(ip + ":" + std::to_string(options.operatorsPort));
    }
    return addresses;
}

/// Highest version in force at any router: what all of them should have.
std::uint64_t newestVersion(const std::vector<RouterStatus> &all)
{
    std::uint64_t newest = 0;
    for (const RouterStatus &status : all)
        newest = std::max(newest, status.version);
    return newest;
}

bool isFine(const RouterStatus &status, std::uint64_t newest)
{
    return status.reached && status.version == newest && status.version != 0
           && status.refused.is_null();
}

Json toJson(const RouterStatus &status, std::uint64_t newest)
{
    return {{"router", status.address},    {"reached", status.reached},
            {"version", status.version},   {"age_ms", status.ageMs},
            {"draining", status.draining}, {"waits_for", status.waitsFor},
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
    if (!status.waitsFor.empty())
        std::cout << ", waits for a configuration (" << status.waitsFor << ")";
    std::cout << "\n";
    if (status.refused.is_null())
        return;
    std::cout << "  refuses version " << status.refused.value("version", 0) << ":\n";
    for (const Json &finding : status.refused.value("findings", Json::array()))
        std::cout << "    " << finding.get<std::string>() << "\n";
}

/// Version of the accepted configuration; nothing without a platform, or when it gives none.
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

/// Says which version is accepted; one that is lower than what is in force can't come into force.
bool printAccepted(const StatusOptions &options, std::uint64_t newest)
{
    const auto accepted = acceptedVersion(options);
    if (!accepted) {
        std::cout << "the platform holds no root that can be read\n";
        return false;
    }
    std::cout << "accepted: version " << *accepted << "\n";
    if (*accepted >= newest)
        return true;
    std::cout << "the platform's version is older than version " << newest
              << " in force, see 'almondmill submit --repair'\n";
    return false;
}

int status(const StatusOptions &options)
{
    const auto all = readAll(routerAddresses(options));
    const std::uint64_t newest = newestVersion(all);
    const bool allFine = std::all_of(all.begin(), all.end(), [&](const RouterStatus &router) {
        return isFine(router, newest);
    });
    if (options.json) {
        printStatusJson(options, all, newest);
        return allFine ? ExitOk : ExitDiffers;
    }
    const bool rootIsFine = options.platform.empty() || printAccepted(options, newest);
    for (const RouterStatus &router : all)
        print(router, newest);
    return allFine && rootIsFine ? ExitOk : ExitDiffers;
}

} // namespace

void addStatus(CLI::App &app, int &exitCode)
{
    auto options = std::make_shared<StatusOptions>();
    auto *command = app.add_subcommand("status", "say what is in force at each router");
    command->add_option("--routers", options->routers,
                        "operators' listeners as IP:port, with commas between")
            ->delimiter(',');
    command->add_option(
            "--platform", options->platform,
            "base URL of the platform, for the accepted version, and for the routers of its VM "
            "list where none are named");
    command->add_option("--operators-port", options->operatorsPort,
                        "port of the operators' listeners of the VM list's routers")
            ->capture_default_str();
    options->addJson(*command);
    command->callback([options, &exitCode] { exitCode = status(*options); });
}

} // namespace almondmill::cli
