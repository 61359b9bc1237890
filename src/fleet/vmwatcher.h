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

/// Polls the platform's VM list if this router is elected as one of the two readers of its data
/// centre, which alternate. The number of calls therefore does not grow with the fleet. A router
/// that knows no other router reads alone.
class VmWatcher
{
public:
    using Handler = std::function<void(const std::vector<Vm> &)>;

    /// `handler` is called on the watcher's thread with every VM list that was read.
    VmWatcher(Node &node, Handler handler);
    ~VmWatcher();
    VmWatcher(const VmWatcher &) = delete;
    VmWatcher &operator=(const VmWatcher &) = delete;

    void start();
    void stop();

private:
    void run();
    std::chrono::milliseconds timeUntilNextRead(WallTime now) const;
    bool isActiveReader() const;

    Node &m_node;
    Handler m_handler;
    std::mutex m_mutex;
    std::condition_variable m_stopSignal;
    bool m_stopping = false;
    std::thread m_thread;
};

/// Addresses at which other routers may listen: those of the VMs that are not leaving and belong to
/// no endpoint. A VM listed without a port gets the port of this router's peer listener.
std::vector<std::string> routerCandidates(const std::vector<Vm> &vms, const Node &node);

} // namespace almondmill
