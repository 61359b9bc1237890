#pragma once

#include "support/childprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// One `almondmilld` with an address of its own.
class RouterProcess
{
public:
    /// Writes a settings file and starts the router. `extraSettings` is TOML added at the end, such
    /// as a [timeouts] table. `seeds` are addresses of other routers.
    RouterProcess(const std::string &platformUrl, const std::string &extraSettings = {},
                  const std::vector<std::string> &seeds = {});
    ~RouterProcess();

    std::string callersUrl() const { return "http://" + m_address + ":8080"; }
    std::string operatorsUrl() const { return "http://" + m_address + ":9090"; }
    std::string peersAddress() const { return m_address + ":7070"; }
    ChildProcess &process() { return *m_process; }

    /// Starts the program again with the same settings, after it was killed or terminated.
    void restart();

    /// Blocks until /readyz answers 200.
    bool waitUntilReady() const;

private:
    std::string m_address;
    std::string m_settingsFile;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace almondmill::test
