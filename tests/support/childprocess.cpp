#include "support/childprocess.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace almondmill::test {

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments)
{
    const std::string path = std::string(ALMONDMILL_BIN_DIR) + "/" + program;
    std::vector<char *> argv{const_cast<char *>(path.c_str())};
    for (const std::string &argument : arguments)
        argv.push_back(const_cast<char *>(argument.c_str()));
    argv.push_back(nullptr);
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("can't start " + path);
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
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

int ChildProcess::wait()
{
    int status = 0;
    waitpid(m_pid, &status, 0);
    m_pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

} // namespace almondmill::test
