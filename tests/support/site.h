#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include "engineserver.h"
#include "platformserver.h"
#include "serviceserver.h"

#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// API key of the first client account of every test site.
constexpr const char *ApiKey = "test-key";

/// The environment of the routers in a test: stand-ins for the platform, engines and services,
/// which run in this process, and an inventory and rules that list them.
class Site
{
public:
    /// Starts a platform, `engines` engines of the model "reed" and `services` endpoints of the
    /// service "booking", whose `POST /booking/slots` must not be retried, and submits version 1.
    Site(std::size_t engines, std::size_t services, const standin::EngineOptions &options = {});
    ~Site();

    std::string platformUrl() const;
    standin::PlatformServer &platform() { return *m_platform; }
    const std::string &engineAddress(std::size_t index) const { return m_engineAddresses[index]; }
    const std::string &serviceAddress(std::size_t index) const { return m_serviceAddresses[index]; }

    standin::EngineServer &engine(std::size_t index) { return *m_engines[index]; }

    Inventory &inventory() { return m_inventory; }
    Rules &rules() { return m_rules; }

    /// Submits the present inventory and rules. Returns the new version.
    std::uint64_t submit();

    /// Stops an engine: its connections are closed and new ones refused.
    void stopEngine(std::size_t index) { m_engines[index].reset(); }

    /// Starts an engine again at its address, as a new incarnation with an empty cache.
    void startEngine(std::size_t index);

    /// Number of executions of the operation at all service endpoints.
    unsigned runs(const std::string &operation) const;

private:
    standin::EngineOptions m_options;
    std::string m_platformAddress;
    std::unique_ptr<standin::PlatformServer> m_platform;
    std::vector<std::string> m_engineAddresses;
    std::vector<std::string> m_serviceAddresses;
    std::vector<std::unique_ptr<standin::EngineServer>> m_engines;
    std::vector<std::unique_ptr<standin::ServiceServer>> m_services;
    Inventory m_inventory;
    Rules m_rules;
    std::uint64_t m_version = 0;
};

} // namespace almondmill::test
