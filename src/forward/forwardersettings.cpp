#include "almondmill/forward/forwardersettings.h"

#include "almondmill/config/ipaddress.h"
#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/memorylimits.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/kernel/inputerror.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/route/routingconfiguration.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>

namespace almondmill {

namespace {

constexpr const char *TableName = "forwarding";
constexpr std::uint32_t MaxDescriptors = 1U << 20U;
constexpr std::uint32_t MaxRetries = 1U << 20U;
constexpr std::uint32_t MaxMemoryMb = 1U << 20U;

/// File descriptors reserved for files, the store, peers and the load balancer.
constexpr std::uint32_t ReservedDescriptors = 300;

/// One for the caller's connection and one for a connection to an endpoint.
constexpr std::uint32_t DescriptorsPerSession = 2;

/// Memory of a session that waits for a request: its coroutines, its read buffer and its timer.
constexpr std::size_t BytesPerSession = std::size_t(8) << 10U;

/// The ratio is a number from zero to one; a value in thousandths is rejected.
constexpr double MaxRetryBudgetRatio = 1.0;

std::string readAddress(TableReader &reader, const char *key)
{
    std::string address = reader.requiredString(key);
    if (!address.empty() && !isIpAndPort(address))
        reader.report("config.221", key, "invalid address '" + address + "'; expected IP:port");
    return address;
}

void readAddresses(TableReader &reader, ForwarderSettings &settings)
{
    settings.store = readAddress(reader, "store");
    settings.callersListen = readAddress(reader, "callers_listen");
    settings.readyListen = readAddress(reader, "ready_listen");
    settings.operatorsListen = reader.optionalString("operators_listen", "");
    settings.peersListen = readAddress(reader, "peers_listen");
}

void readBounds(TableReader &reader, ForwarderSettings &settings)
{
    const auto read = [&](const char *key, std::chrono::milliseconds &value) {
        value = reader.duration(key, value);
    };
    read("configuration_deadline", settings.configurationDeadline);
    read("drain_deadline", settings.drainDeadline);
    read("shutdown_grace", settings.shutdownGrace);
    read("weights_deadline", settings.weightsDeadline);
    read("lease_turn", settings.leaseHandoverInterval);
    read("reuse_window", settings.reuseWindow);
    read("retry_window", settings.retryBudgetWindow);
    settings.retryBudgetRatio =
            reader.fraction("retry_share", settings.retryBudgetRatio, MaxRetryBudgetRatio);
    settings.retryBudgetMinRetries =
            reader.number("retries_always", settings.retryBudgetMinRetries, 0, MaxRetries);
}

/// Memory of the VM in MB as the environment states it; 0 when it does not.
std::uint32_t memoryFromEnvironment()
{
    const char *text = std::getenv("ALMONDMILL_MAX_MEMORY");
    std::uint32_t megabytes = 0;
    const bool isNumber = text && absl::SimpleAtoi(text, &megabytes);
    return isNumber ? std::min(megabytes, MaxMemoryMb) : 0;
}

void readMemory(TableReader &reader, ForwarderSettings &settings)
{
    const std::size_t needed = memoryOfLargestRequest(CallerBounds().maxBodyBytes);
    settings.maxMemoryMb = memoryFromEnvironment();
    // A VM that is too small for the connections it may get must still start.
    if (settings.memoryForCallers() < needed) {
        EventLine("memory.unbounded")
                .add("stated_mb", settings.maxMemoryMb)
                .add("needed", std::uint64_t(needed));
        settings.maxMemoryMb = 0;
    }
    settings.maxMemoryMb = reader.number("max_memory", settings.maxMemoryMb, 0, MaxMemoryMb);
    if (settings.memoryForCallers() < needed)
        reader.report("config.222", "max_memory",
                      absl::StrCat("too small: a request of the largest size needs ", needed,
                                   " bytes, and ", settings.maxMemoryMb,
                                   " MB with max_descriptors = ", settings.maxDescriptors,
                                   " leave ", settings.memoryForCallers()));
}

void readForwarding(TableReader &reader, ForwarderSettings &settings)
{
    settings.adapter = reader.requiredString("adapter");
    if (!settings.adapter.empty() && !PlatformAdapterRegistry::isRegistered(settings.adapter)) {
        reader.report("config.220", "adapter",
                      "unknown platform adapter '" + settings.adapter
                              + "'; known adapters: " + PlatformAdapterRegistry::knownNames());
    }
    readAddresses(reader, settings);
    settings.maxDescriptors =
            reader.number("max_descriptors", settings.maxDescriptors, 64, MaxDescriptors);
    readMemory(reader, settings);
    reader.table("bounds", [&](TableReader &bounds) { readBounds(bounds, settings); });
}

} // namespace

std::size_t ForwarderSettings::maxSessions() const
{
    return (maxDescriptors - std::min(maxDescriptors, ReservedDescriptors)) / DescriptorsPerSession;
}

std::size_t ForwarderSettings::memoryForCallers() const
{
    return almondmill::memoryForCallers(maxMemoryMb, maxSessions(), BytesPerSession);
}

bool hasForwarderSettings(const std::string &text)
{
    Findings findings;
    const toml::table table = parseToml(text, "", findings);
    return findings.empty() && table.contains(TableName);
}

ForwarderSettings parseForwarderSettings(const std::string &text, const std::string &file)
{
    Findings findings;
    const toml::table table = parseToml(text, file, findings);
    if (!findings.empty())
        throw InputError("config.200", findings);
    TableReader reader(table, file, {}, findings);
    ForwarderSettings settings;
    settings.name = reader.requiredString("name");
    settings.dataCentre = reader.requiredString("data_centre");
    reader.table(TableName, [&](TableReader &forwarding) { readForwarding(forwarding, settings); });
    reader.reportUnknownKeys();
    if (!findings.empty())
        throw InputError("config.200", findings);
    return settings;
}

} // namespace almondmill
