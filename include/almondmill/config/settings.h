#pragma once

#include "almondmill/kernel/log.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Settings of one router process, read once at start.
struct Settings
{
    std::string name;
    std::string dataCentre;
    std::string region = "default";
    std::string listen;                  ///< "IP:port" for callers.
    std::string operatorsListen;         ///< "IP:port" for health, metrics and dumps.
    std::string peersListen;             ///< "IP:port" for other routers.
    std::vector<std::string> seeds;      ///< "IP:port" of other routers.
    std::string platform;                ///< Base URL of the object API and VM list.
    std::string platformClient = "http"; ///< Name of a registered platform client.
    LogLevel logLevel = LogLevel::Info;

    std::uint32_t maxBodyBytes = 8U << 20U;
    std::uint32_t maxRequests = 900;    ///< Requests served at once; more are refused.
    std::uint32_t callerThreads = 1000; ///< One for each connection; more than `maxRequests`.

    std::uint32_t queueRequests = 200; ///< Requests a model and priority that wait for room.

    std::chrono::milliseconds platformTimeout{1000};
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds firstByteTimeout{30000};
    std::chrono::milliseconds streamIdleTimeout{5000};
    std::chrono::milliseconds requestTimeout{300000};
    std::chrono::milliseconds queueWait{2000};   ///< Longest wait for room at an endpoint.
    std::chrono::milliseconds drainNotice{3000}; ///< Served as usual after SIGTERM for this long.
};

/// Reads settings from TOML text. Throws InputError "config.200" with every finding.
Settings parseSettings(const std::string &text, const std::string &file);

/// Reads a settings file. Throws Error "config.206" when it can't be read, else as parseSettings.
Settings loadSettings(const std::string &file);

} // namespace almondmill
