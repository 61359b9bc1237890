#pragma once

#include "almondmill/config/configurationfiles.h"
#include "almondmill/config/configurationstore.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/store/httpplatform.h"

#include <chrono>
#include <string>

namespace almondmill::cli {

/// How long the command line waits for an answer.
constexpr std::chrono::milliseconds AnswerTimeout{5000};

/// The platform as the command line uses it.
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

/// The accepted configuration; version zero when there is none.
struct AcceptedConfiguration
{
    std::uint64_t version = 0;
    std::string submitter;
    ParsedConfiguration content;
};

/// Reads it. Throws Error "cli.101" when the platform gives no usable answer.
AcceptedConfiguration readAccepted(ConfigurationStore &store);

} // namespace almondmill::cli
