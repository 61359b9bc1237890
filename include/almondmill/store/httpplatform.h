#pragma once

#include "almondmill/store/platform.h"

#include <string>

namespace almondmill {

class Metrics;

/// HTTP client of the platform's object API and VM list; defines their wire format. Each call uses
/// its own connection, so that an unresponsive connection fails at most one call.
class HttpPlatform : public Platform
{
public:
    /// `baseUrl` has the form "http://127.0.0.1:9500". Calls are counted in `metrics` by kind.
    HttpPlatform(std::string baseUrl, Metrics &metrics);

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) override;
    WatchResult watch(const std::string &prefix, std::uint64_t revision,
                      std::chrono::milliseconds wait) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;
    UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                        std::chrono::milliseconds timeout) override;
    VmListResult vms(std::chrono::milliseconds timeout) override;

private:
    void count(const char *kind);

    std::string m_baseUrl;
    Metrics &m_metrics;
};

} // namespace almondmill
