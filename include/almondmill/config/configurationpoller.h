#pragma once

#include "almondmill/kernel/part.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace almondmill {

struct Node;

/// Keeps the configuration in force at this router up to date from the object API: reads at start,
/// then again whenever a watch says that the root changed.
class ConfigurationPoller : public Part
{
public:
    explicit ConfigurationPoller(Node &node);
    ~ConfigurationPoller() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

private:
    void run();
    bool loadOnce();
    bool waitFor(std::chrono::milliseconds time);

    Node &m_node;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
