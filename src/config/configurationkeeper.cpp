#include "almondmill/config/configurationkeeper.h"

#include "almondmill/kernel/node.h"
#include "almondmill/kernel/steadynow.h"

namespace almondmill {

ConfigurationKeeper::ConfigurationKeeper(Node &node)
    : m_sync(node, node.incarnation)
{
    node.configurationExchange = this;
}

ConfigurationKeeper::~ConfigurationKeeper()
{
    stop();
}

void ConfigurationKeeper::dump(nlohmann::json &object) const
{
    m_sync.dump(object, steadyNow());
}

void ConfigurationKeeper::start()
{
    m_storeThread = std::thread([this] { run(&ConfigurationSync::storeStep); });
    m_peerThread = std::thread([this] { run(&ConfigurationSync::peerStep); });
}

void ConfigurationKeeper::stop()
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

ConfigurationOffer ConfigurationKeeper::answerPull(std::uint64_t haveVersion,
                                                   const std::vector<std::string> &haveParts)
{
    return m_sync.inForce().offer(haveVersion, haveParts);
}

std::uint64_t ConfigurationKeeper::acceptPush(const ConfigurationOffer &offer)
{
    const std::uint64_t version = m_sync.acceptPush(offer, steadyNow());
    wakePeerThread();
    return version;
}

void ConfigurationKeeper::heardVersion(const std::string &peer, std::uint64_t version)
{
    if (m_sync.heardVersion(peer, version))
        wakePeerThread();
}

void ConfigurationKeeper::run(Step step)
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

void ConfigurationKeeper::wakePeerThread()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_peerWorkPending = true;
    }
    m_wake.notify_all();
}

namespace {

const PartRegistry::Registrar ConfigurationRegistrar("configuration", [](Node &node) {
    return std::make_unique<ConfigurationKeeper>(node);
});

} // namespace

} // namespace almondmill
