#include "almondmill/config/configurationcomponent.h"

#include "almondmill/kernel/node.h"
#include "almondmill/kernel/steadynow.h"

namespace almondmill {

ConfigurationComponent::ConfigurationComponent(Node &node)
    : m_sync(node, node.incarnation)
{
    node.configurationExchange = this;
}

ConfigurationComponent::~ConfigurationComponent()
{
    stop();
}

void ConfigurationComponent::dump(nlohmann::json &object) const
{
    m_sync.dump(object, steadyNow());
}

void ConfigurationComponent::start()
{
    m_storeThread = std::thread([this] { run(&ConfigurationSync::storeStep); });
    m_peerThread = std::thread([this] { run(&ConfigurationSync::peerStep); });
}

void ConfigurationComponent::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_storeThread.joinable())
        m_storeThread.join();
    if (m_peerThread.joinable())
        m_peerThread.join();
}

ConfigurationOffer ConfigurationComponent::answerPull(std::uint64_t haveVersion,
                                                      const std::vector<std::string> &haveParts)
{
    return m_sync.inForce().offer(haveVersion, haveParts);
}

std::uint64_t ConfigurationComponent::acceptPush(const ConfigurationOffer &offer)
{
    const std::uint64_t version = m_sync.acceptPush(offer, steadyNow());
    wakePeerThread();
    return version;
}

void ConfigurationComponent::recordPeerVersion(const std::string &peer, std::uint64_t version)
{
    if (m_sync.recordPeerVersion(peer, version))
        wakePeerThread();
}

void ConfigurationComponent::run(Step step)
{
    const bool isPeerThread = step == &ConfigurationSync::peerStep;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const auto delay = (m_sync.*step)(steadyNow());
        lock.lock();
        m_wake.wait_for(lock, delay,
                        [&] { return m_stopping || (isPeerThread && m_peerWorkPending); });
        if (isPeerThread)
            m_peerWorkPending = false;
    }
}

void ConfigurationComponent::wakePeerThread()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_peerWorkPending = true;
    }
    m_wake.notify_all();
}

namespace {

const ComponentRegistry::Registrar ConfigurationRegistrar("configuration", [](Node &node) {
    return std::make_unique<ConfigurationComponent>(node);
});

} // namespace

} // namespace almondmill
