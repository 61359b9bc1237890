#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace almondmill::test {

/// A program of this build run as a process of its own; killed when the object goes.
class ChildProcess
{
public:
    /// Starts `program` from the build folder. Its output goes to the test's.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal, such as SIGSTOP.
    void signal(int number) const;

    /// Kills at once and waits.
    void kill();

    /// Sends SIGTERM and waits; returns the exit code, or -1 when a signal ended it.
    int terminate();

private:
    int wait();

    pid_t m_pid = -1;
};

} // namespace almondmill::test
