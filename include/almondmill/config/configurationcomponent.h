#pragma once

#include "almondmill/config/configurationsync.h"
#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/kernel/component.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace almondmill {

/// Kernel component that keeps the configuration of this router up to date. It runs
/// ConfigurationSync on two threads, one for calls to the platform and one for calls to other
/// routers, so that a slow platform does not delay the exchange with routers or vice versa.
class ConfigurationComponent : public Component, public ConfigurationExchange
{
public:
    explicit ConfigurationComponent(Node &node);
    ~ConfigurationComponent() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

    ConfigurationOffer answerPull(std::uint64_t haveVersion,
                                  const std::vector<std::string> &haveParts) override;
    std::uint64_t acceptPush(const ConfigurationOffer &offer) override;
    void recordPeerVersion(const std::string &peer, std::uint64_t version) override;

private:
    using Step = std::chrono::milliseconds (ConfigurationSync::*)(SteadyTime);

    void run(Step step);
    void wakePeerThread();

    ConfigurationSync m_sync;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_peerWorkPending = false;
    std::thread m_storeThread;
    std::thread m_peerThread;
};

} // namespace almondmill
