#pragma once

#include "almondmill/config/configurationfiles.h"
#include "almondmill/config/configurationstore.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/store/httpplatform.h"

#include <chrono>
#include <string>

namespace almondmill::cli {

/// Timeout of one call from the command line to the platform.
constexpr std::chrono::milliseconds AnswerTimeout{5000};

/// Client of the platform and its configuration store, as the subcommands use them.
class PlatformAccess
{
public:
    explicit PlatformAccess(const std::string &url)
        : m_platform(url, m_metrics)
        , m_store(m_platform, AnswerTimeout)
    {}

    HttpPlatform &platform() { return m_platform; }
    ConfigurationStore &store() { return m_store; }

private:
    Metrics m_metrics;
    HttpPlatform m_platform;
    ConfigurationStore m_store;
};

/// The accepted configuration; the version is zero if no configuration has been accepted yet.
struct AcceptedConfiguration
{
    std::uint64_t version = 0;
    std::string submitter;
    ParsedConfiguration content;
};

/// Reads the accepted configuration from the store. Throws Error "cli.101" if the platform is
/// unavailable or the stored configuration is not valid.
AcceptedConfiguration readAcceptedConfiguration(ConfigurationStore &store);

} // namespace almondmill::cli
