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

/// The platform's object API and VM list over HTTP, with switches for faults. Runs its own threads.
class PlatformServer
{
public:
    /// Binds `address` and serves until destroyed.
    explicit PlatformServer(const std::string &address);
    ~PlatformServer();

    int port() const { return m_port; }
    MemoryStore &store() { return m_store; }

    /// Calls that came in, whatever became of them; a waiting watch is one.
    std::uint64_t calls() const { return m_calls; }

    /// Changes that were swallowed by FaultMode::Silent so far.
    unsigned swallowedChanges() const { return m_swallowedChanges; }

    void setFault(FaultMode mode, std::chrono::milliseconds delay = {});
    void setVms(std::vector<Vm> vms);

private:
    void addRoutes();
    void addObjectRoutes();
    void addControlRoutes();
    bool failsBefore(const httplib::Request &request, httplib::Response &response);
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
