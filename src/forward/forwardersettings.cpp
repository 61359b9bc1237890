#include "almondmill/forward/forwardersettings.h"

#include "almondmill/config/ipaddress.h"
#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/kernel/inputerror.h"

namespace almondmill {

namespace {

constexpr const char *TableName = "forwarding";
constexpr std::uint32_t MaxDescriptors = 1U << 20U;
constexpr std::uint32_t MaxRetries = 1U << 20U;

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
    reader.table("bounds", [&](TableReader &bounds) { readBounds(bounds, settings); });
}

} // namespace

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
