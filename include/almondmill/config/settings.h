#pragma once

#include "almondmill/kernel/log.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Settings of one router process, read once at startup.
struct Settings
{
    std::string name;
    std::string dataCentre;
    std::string region = "default";
    std::string listen;             ///< "IP:port" of the listener for callers.
    std::string operatorsListen;    ///< "IP:port" of the listener for health, metrics and dumps.
    std::string peersListen;        ///< "IP:port" of the listener for other routers.
    std::vector<std::string> seeds; ///< "IP:port" of routers that are contacted first.
    std::string platform;           ///< Base URL of the object API and VM list.
    std::string platformClient = "http"; ///< Name of a registered platform client.
    LogLevel logLevel = LogLevel::Info;

    std::uint32_t maxBodyBytes = 8U << 20U;
    std::uint32_t maxRequests = 900;    ///< Maximum concurrent requests; more are refused.
    std::uint32_t callerThreads = 1000; ///< One per connection; exceeds `maxRequests`.

    /// Memory limit of the VM in MB; bounds what is held for callers. Without it (0) only the
    /// number of requests and the size of each are bounded.
    std::uint32_t maxMemoryMb = 0;

    /// Memory that may be held for callers, in bytes.
    std::size_t memoryForCallers() const;

    std::uint32_t queueRequests = 200; ///< Queue length for each model and priority.

    std::chrono::milliseconds platformTimeout{1000};
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds firstByteTimeout{30000};
    std::chrono::milliseconds streamIdleTimeout{5000};
    std::chrono::milliseconds requestTimeout{300000};
    std::chrono::milliseconds queueWait{2000};   ///< Maximum wait for a free slot at an endpoint.
    std::chrono::milliseconds drainNotice{3000}; ///< Normal service after SIGTERM for this long.
};

/// Parses settings from TOML text. Throws InputError "config.200" with all findings.
Settings parseSettings(const std::string &text, const std::string &file);

/// Reads a settings file. Throws Error "config.206" if it cannot be opened, and otherwise the same
/// as parseSettings().
Settings loadSettings(const std::string &file);

} // namespace almondmill
