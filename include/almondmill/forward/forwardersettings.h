#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// Settings of one router process that forwards on a platform.
struct ForwarderSettings
{
    std::string name;
    std::string dataCentre;
    std::string adapter;                 ///< Name of a registered platform adapter.
    std::string store;                   ///< "IP:port" of the platform's object store.
    std::string callersListen;           ///< "IP:port".
    std::string readyListen;             ///< "IP:port" that the balancer asks for readiness.
    std::string operatorsListen;         ///< "IP:port" for metrics and dumps; empty for none.
    std::string peersListen;             ///< "IP:port" (UDP) for other routers.
    std::uint32_t maxDescriptors = 1024; ///< Of the process; bounds the callers' connections.

    std::chrono::milliseconds configurationDeadline{2000}; ///< From acknowledged to in force.
    std::chrono::milliseconds drainDeadline{2000};   ///< From deregistered to no more requests.
    std::chrono::milliseconds shutdownGrace{8000};   ///< From SIGTERM to the end of the process.
    std::chrono::milliseconds weightsDeadline{8000}; ///< From named to no request on older ones.
    std::chrono::milliseconds leaseTurn{3000};    ///< Least time between the orders of two holders.
    std::chrono::milliseconds reuseWindow{10000}; ///< For which a cached part is worth keeping.
    double retryShare = 0.2;                      ///< Repeats for each request, over all routers.
    std::uint32_t retriesAlways = 100;            ///< Repeats in a window beside the share.
    std::chrono::milliseconds retryWindow{10000};

    bool operator==(const ForwarderSettings &) const = default;
};

/// Whether the TOML text holds settings of a forwarding router.
bool hasForwarderSettings(const std::string &text);

/// Reads the settings. Throws InputError "config.200" with every finding.
ForwarderSettings parseForwarderSettings(const std::string &text, const std::string &file);

} // namespace almondmill
