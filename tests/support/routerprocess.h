#pragma once

#include "support/childprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// An `almondmilld` process with its own loopback address.
class RouterProcess
{
public:
    /// Writes a settings file and starts the router. `extraSettings` is TOML appended to the file,
    /// such as a [timeouts] table. `seeds` are the peer addresses of other routers.
    RouterProcess(const std::string &platformUrl, const std::string &extraSettings = {},
                  const std::vector<std::string> &seeds = {});
    ~RouterProcess();

    std::string callersUrl() const { return "http://" + m_address + ":8080"; }
    std::string operatorsUrl() const { return "http://" + m_address + ":9090"; }
    std::string peersAddress() const { return m_address + ":7070"; }
    ChildProcess &process() { return *m_process; }

    /// Kills the process if it still runs, and starts it again with the same settings.
    void restart();

    /// Blocks until /readyz answers 200. Returns false after the limit of `waitUntil`.
    bool waitUntilReady() const;

private:
    std::string m_address;
    std::string m_settingsFile;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace almondmill::test
