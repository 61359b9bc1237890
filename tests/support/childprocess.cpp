#include "support/childprocess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace almondmill::test {

namespace {

/// Appends the standard output and error of this process to the file.
void redirectOutput(const std::string &file)
{
    constexpr mode_t Mode = 0644;
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, Mode);
    if (descriptor < 0)
        return;
    dup2(descriptor, STDOUT_FILENO);
    dup2(descriptor, STDERR_FILENO);
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments,
                           const std::string &output)
{
    const std::string path = std::string(ALMONDMILL_BIN_DIR) + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot fork to start " + path);
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        if (!output.empty())
            redirectOutput(output);
        // Inherited sockets would stay open in the child after the parent has closed them.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execv(path.c_str(), argv.data());
        _exit(127);
    }
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    wait();
}

int ChildProcess::terminate()
{
    signal(SIGTERM);
    return wait();
}

bool ChildProcess::hasEnded()
{
    if (m_pid <= 0)
        return true;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    recordEnd(status);
    return true;
}

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    recordEnd(status);
    return m_exitCode;
}

void ChildProcess::recordEnd(int status)
{
    m_pid = -1;
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace almondmill::test
