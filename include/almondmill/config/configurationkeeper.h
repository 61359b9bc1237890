#pragma once

#include "almondmill/config/configurationsync.h"
#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/kernel/part.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace almondmill {

/// Keeps the configuration in force at this router up to date: runs ConfigurationSync on two
/// threads, one for the platform and one for other routers, so that neither waits for the other.
class ConfigurationKeeper : public Part, public ConfigurationExchange
{
public:
    explicit ConfigurationKeeper(Node &node);
    ~ConfigurationKeeper() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

    ConfigurationOffer answerPull(std::uint64_t haveVersion,
                                  const std::vector<std::string> &haveParts) override;
    std::uint64_t acceptPush(const ConfigurationOffer &offer) override;
    void heardVersion(const std::string &peer, std::uint64_t version) override;

private:
    using Step = std::chrono::milliseconds (ConfigurationSync::*)(SteadyTime);

    void run(Step step);
    void wakePeerThread();

    ConfigurationSync m_sync;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    bool m_peerWork = false;
    std::thread m_storeThread;
    std::thread m_peerThread;
};

} // namespace almondmill
