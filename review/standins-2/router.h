#pragma once

#include <string>

#include <sys/types.h>

namespace review {

/// Where a router runs and what its settings name.
struct RouterPlace
{
    std::string name; ///< `node_name` of the settings.
    std::string ip;
    std::string zone;
    std::string store;  ///< Address of the platform's store.
    int memoryMb = 182; ///< `memory_mb` of the sheet.
};

/// One router as a process of its own: the program of the deploy file, with settings from the
/// deploy file's template. The process is killed when this is destroyed.
class Router
{
public:
    static constexpr int CallerPort = 8100;
    static constexpr int ReadyPort = 8101;

    /// `folder` takes the settings and the log. Throws std::system_error if the program can't run.
    Router(RouterPlace place, const std::string &folder, const std::string &label);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    const RouterPlace &place() const { return m_place; }
    bool isReady() const;
    pid_t process() const { return m_process; }

    /// SIGKILL; returns when the process has ended.
    void kill();

private:
    RouterPlace m_place;
    pid_t m_process = -1;
};

} // namespace review
