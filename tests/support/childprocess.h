#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace almondmill::test {

/// A program of this build run as a process of its own; killed when the object goes.
class ChildProcess
{
public:
    /// Starts `program` from the build folder. Its output goes to the test's, or is added to the
    /// file `output`.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &output = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal, such as SIGSTOP.
    void signal(int number) const;

    /// Whether it has ended, by itself or by a signal. Does not wait.
    bool hasEnded();

    /// Exit code after the end; -1 when a signal ended it.
    int exitCode() const { return m_exitCode; }

    /// Kills at once and waits.
    void kill();

    /// Sends SIGTERM and waits; returns the exit code, or -1 when a signal ended it.
    int terminate();

private:
    int wait();
    void ended(int status);

    pid_t m_pid = -1;
    int m_exitCode = 0;
};

} // namespace almondmill::test
