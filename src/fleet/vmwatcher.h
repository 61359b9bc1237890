#pragma once

#include "almondmill/store/vm.h"

#include "almondmill/kernel/time.h"
#include <condition_variable>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace almondmill {

struct Node;

/// Reads the platform's VM list in turn with one other router of the data centre, so that the calls
/// do not grow with the fleet; a router that knows no other reads alone.
class VmWatcher
{
public:
    using Handler = std::function<void(const std::vector<Vm> &)>;

    /// `handler` is called from the watcher's own thread.
    VmWatcher(Node &node, Handler handler);
    ~VmWatcher();
    VmWatcher(const VmWatcher &) = delete;
    VmWatcher &operator=(const VmWatcher &) = delete;

    void start();
    void stop();

private:
    void run();
    std::chrono::milliseconds untilNextTurn(WallTime now) const;
    bool isMyTurn() const;

    Node &m_node;
    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

/// Peers' addresses of the VMs that are live and belong to no endpoint. A VM listed without a port
/// is taken to use this router's port.
std::vector<std::string> possibleRouters(const std::vector<Vm> &vms, const Node &node);

} // namespace almondmill
