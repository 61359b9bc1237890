#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace almondmill::test {

/// Runs a program of this build as a child process. The destructor kills it.
class ChildProcess
{
public:
    /// Starts `program` from the build directory. The child inherits the standard output and error,
    /// or appends both to the file `output`.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &output = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    pid_t pid() const { return m_pid; }

    /// Sends a signal, such as SIGSTOP.
    void signal(int number) const;

    /// Whether the process has exited or was ended by a signal. Does not block.
    bool hasEnded();

    /// Exit code of the ended process; -1 if a signal ended it.
    int exitCode() const { return m_exitCode; }

    /// Sends SIGKILL and waits for the end of the process.
    void kill();

    /// Sends SIGTERM and waits for the end of the process. Returns the exit code, or -1 if a signal
    /// ended it.
    int terminate();

private:
    int wait();
    void recordEnd(int status);

    pid_t m_pid = -1;
    int m_exitCode = 0;
};

} // namespace almondmill::test
