#include "almondmill/config/configurationpoller.h"

#include "almondmill/config/configurationstore.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"
#include "almondmill/platform/objectstore.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {
constexpr std::chrono::milliseconds PollInterval{500};
} // namespace

ConfigurationPoller::ConfigurationPoller(Node &node)
    : m_node(node)
{}

ConfigurationPoller::~ConfigurationPoller()
{
    stop();
}

void ConfigurationPoller::dump(nlohmann::json &object) const
{
    object["version"] = m_node.endpoints.version();
}

void ConfigurationPoller::start()
{
    m_thread = std::thread([this] { run(); });
}

void ConfigurationPoller::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ConfigurationPoller::run()
{
    do {
        loadOnce();
    } while (waitFor(PollInterval));
}

bool ConfigurationPoller::loadOnce()
{
    ConfigurationStore store(*m_node.store, m_node.settings.platformTimeout);
    const auto result = store.load();
    if (const auto *failure = std::get_if<LoadFailure>(&result)) {
        log(LogLevel::Warning, "config", "Can't read the configuration: " + failure->reason);
        return false;
    }
    const auto *loaded = std::get_if<LoadedConfiguration>(&result);
    if (!loaded || !m_node.endpoints.apply(loaded->configuration))
        return false;
    log(LogLevel::Info, "config",
        "Version " + std::to_string(loaded->configuration->version()) + " is in force.");
    return true;
}

bool ConfigurationPoller::waitFor(std::chrono::milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, time, [&] { return m_stopping; });
}

namespace {

const PartRegistry::Registrar PollerRegistrar("configuration", [](Node &node) {
    return std::make_unique<ConfigurationPoller>(node);
});

} // namespace

} // namespace almondmill
