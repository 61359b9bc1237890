#pragma once

#include "faultmode.h"
#include "memorystore.h"

#include "almondmill/store/vm.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace almondmill::standin {

/// Stand-in for the platform's object API and VM list over HTTP, with fault injection. Runs its own
/// threads.
class PlatformServer
{
public:
    /// Binds `address` and serves until the object is destroyed.
    explicit PlatformServer(const std::string &address);
    ~PlatformServer();

    int port() const { return m_port; }
    MemoryStore &store() { return m_store; }

    /// Number of calls received, whatever their outcome; a watch counts as one call.
    std::uint64_t calls() const { return m_calls; }

    /// Number of PUT calls that FaultMode::Silent has left without effect.
    unsigned swallowedChanges() const { return m_swallowedChanges; }

    void setFault(FaultMode mode, std::chrono::milliseconds delay = {});
    void setVms(std::vector<Vm> vms);

private:
    void addRoutes();
    void addObjectRoutes();
    void addControlRoutes();

    /// Counts the call and applies the current fault. Returns true if the fault has answered the
    /// call, which then has no effect.
    bool applyFault(const httplib::Request &request, httplib::Response &response);

    /// Answers a change with its result, subject to the faults HoldAnswer and LoseAnswer.
    void finishUpdate(const UpdateResult &result, httplib::Response &response);
    void waitWhile(FaultMode mode) const;

    MemoryStore m_store;
    std::atomic<std::uint64_t> m_calls{0};
    std::atomic<FaultMode> m_fault{FaultMode::None};
    std::atomic<std::int64_t> m_delayMs{0};
    std::atomic<unsigned> m_swallowedChanges{0};
    std::atomic<bool> m_stopping{false};
    std::mutex m_vmsMutex;
    std::vector<Vm> m_vms;
    std::unique_ptr<httplib::Server> m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace almondmill::standin
