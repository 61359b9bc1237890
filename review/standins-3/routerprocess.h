#pragma once

#include <map>
#include <string>

#include <sys/types.h>

namespace review {

/// A router as a process: `target/almondmilld` with the settings that the deploy file's template
/// gives. The process is killed at the end of this object's life.
class RouterProcess
{
public:
    /// Fields of the template by their names; `folder` takes the settings file and the log.
    RouterProcess(std::string folder, std::map<std::string, std::string> fields);
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;
    ~RouterProcess();

    /// Throws std::runtime_error when the template can't be filled in.
    void start();

    /// Sends the signal and waits until the process has ended.
    void end(int signal);

    bool isRunning();

    /// Memory of the process that no file backs, in bytes; 0 when it doesn't run.
    std::size_t anonymousMemory() const;

    const std::string &name() const { return m_fields.at("node_name"); }
    const std::string &callers() const { return m_fields.at("listen.front"); }
    const std::string &ready() const { return m_fields.at("listen.ready"); }

private:
    std::string settings() const;

    std::string m_folder;
    std::map<std::string, std::string> m_fields;
    pid_t m_process = -1;
};

} // namespace review
