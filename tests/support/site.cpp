#include "support/site.h"

#include "support/loopback.h"

#include "almondmill/config/configurationstore.h"
#include "almondmill/config/sha256.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace almondmill::test {

namespace {
/// Exceeds the number of concurrent requests in any test or benchmark.
constexpr std::uint32_t MaxOpenRequests = 10000;
constexpr std::chrono::milliseconds Timeout{1000};
constexpr const char *Port = ":8000";
} // namespace

Site::Site(std::size_t engines, std::size_t services, const standin::EngineOptions &options)
    : m_options(options)
    , m_platformAddress(nextLoopbackAddress() + Port)
    , m_platform(std::make_unique<standin::PlatformServer>(m_platformAddress))
    , m_engines(engines)
{
    m_inventory.dataCentres = {{"a", "default"}};
    Model model;
    model.name = m_options.model;
    model.weights = m_options.weights;
    m_inventory.models = {model};
    m_inventory.services = {{"booking", "/booking/", {"POST /booking/slots"}}};
    for (std::size_t i = 0; i < engines; ++i) {
        m_engineAddresses.push_back(nextLoopbackAddress() + Port);
        startEngine(i);
        Endpoint endpoint;
        endpoint.name = "engine-" + std::to_string(i);
        endpoint.address = m_engineAddresses[i];
        endpoint.dataCentre = "a";
        endpoint.model = model.name;
        m_inventory.endpoints.push_back(endpoint);
    }
    for (std::size_t i = 0; i < services; ++i) {
        m_serviceAddresses.push_back(nextLoopbackAddress() + Port);
        m_services.push_back(std::make_unique<standin::ServiceServer>(m_serviceAddresses[i]));
        Endpoint endpoint;
        endpoint.name = "service-" + std::to_string(i);
        endpoint.address = m_serviceAddresses[i];
        endpoint.dataCentre = "a";
        endpoint.service = "booking";
        m_inventory.endpoints.push_back(endpoint);
    }
    ClientAccount account;
    account.name = "workshop";
    account.keySha256 = sha256Hex(ApiKey);
    account.maxConcurrent = MaxOpenRequests;
    m_rules.clientAccounts = {account};
    m_rules.placementPolicy = "owner";
    submit();
}

Site::~Site() = default;

std::string Site::platformUrl() const
{
    return "http://" + m_platformAddress;
}

std::uint64_t Site::submit()
{
    ConfigurationStore store(m_platform->store(), Timeout);
    const auto result = store.submit(m_inventory, m_rules, m_version);
    if (!std::holds_alternative<Applied>(result))
        throw std::runtime_error("the store did not apply the test site's configuration");
    return ++m_version;
}

void Site::startEngine(std::size_t index)
{
    standin::EngineOptions options = m_options;
    options.listen = m_engineAddresses[index];
    m_engines[index] = std::make_unique<standin::EngineServer>(options);
}

unsigned Site::runs(const std::string &operation) const
{
    unsigned total = 0;
    for (const std::string &address : m_serviceAddresses) {
        httplib::Client client("http://" + address);
        const auto result = client.Get("/counts");
        if (result)
            total += nlohmann::json::parse(result->body).value(operation, 0U);
    }
    return total;
}

} // namespace almondmill::test
