#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace almondmill {

/// Settings of one forwarding router process.
struct ForwarderSettings
{
    std::string name;
    std::string dataCentre;
    std::string adapter;         ///< Name of a registered platform adapter.
    std::string store;           ///< "IP:port" of the platform's object store.
    std::string callersListen;   ///< "IP:port".
    std::string readyListen;     ///< "IP:port" for the load balancer's readiness checks.
    std::string operatorsListen; ///< "IP:port" for metrics and state dumps; empty disables it.
    std::string peersListen;     ///< "IP:port" (UDP) for messages from other routers.
    std::uint32_t maxDescriptors = 1024; ///< File descriptor limit; bounds caller connections.

    /// Memory limit of the VM in MB; bounds what is held for callers and endpoints. Without it (0)
    /// only unfinished answers are bounded.
    std::uint32_t maxMemoryMb = 0;

    /// Number of caller connections that fit into the limit of descriptors.
    std::size_t maxSessions() const;

    /// Memory that may be held for callers and endpoints, in bytes.
    std::size_t memoryForCallers() const;

    /// Longest time from the store's acknowledgement of a configuration until it is in force.
    std::chrono::milliseconds configurationDeadline{2000};

    /// Longest time from an endpoint's deregistration until it receives no more requests.
    std::chrono::milliseconds drainDeadline{2000};

    /// Longest time from SIGTERM until the process exits.
    std::chrono::milliseconds shutdownGrace{8000};

    /// Longest time from naming a new version of the weights until no request is sent to engines
    /// with older ones.
    std::chrono::milliseconds weightsDeadline{8000};

    /// Shortest time between the last order of one lease holder and the first of the next.
    std::chrono::milliseconds leaseHandoverInterval{3000};

    /// How long a cached prompt part is expected to stay cached while the cache turnover of its
    /// service is unknown.
    std::chrono::milliseconds reuseWindow{10000};

    /// Retries allowed for each request, over all routers.
    double retryBudgetRatio = 0.2;

    /// Retries allowed in each window in addition to the ratio, over all routers.
    std::uint32_t retryBudgetMinRetries = 100;
    std::chrono::milliseconds retryBudgetWindow{10000};

    bool operator==(const ForwarderSettings &) const = default;
};

/// Whether `text` is valid TOML and has a `forwarding` entry.
bool hasForwarderSettings(const std::string &text);

/// Parses the settings. Throws InputError "config.200" with all findings.
ForwarderSettings parseForwarderSettings(const std::string &text, const std::string &file);

} // namespace almondmill
