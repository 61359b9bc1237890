#pragma once

#include "almondmill/kernel/component.h"

#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace almondmill {

struct Node;

/// The operators' HTTP listener: health, readiness, metrics, draining and the dump of this
/// process's state. It has its own threads, so it answers even when all callers' threads are busy.
class OperatorApiComponent : public Component
{
public:
    explicit OperatorApiComponent(Node &node);
    ~OperatorApiComponent() override;

    Stage stage() const override { return Stage::Platform; }
    void dump(nlohmann::json &object) const override;

    int port() const { return m_port; }
    void start() override;
    void stop() override;

private:
    std::string dumpAll() const;

    Node &m_node;
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill
