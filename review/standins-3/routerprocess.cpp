#include "routerprocess.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/almondmilld";
constexpr std::size_t BytesPerKilobyte = 1024;

/// The texts as execve takes them.
std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (std::string &text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

RouterProcess::RouterProcess(std::string folder, std::map<std::string, std::string> fields)
    : m_folder(std::move(folder))
    , m_fields(std::move(fields))
{}

RouterProcess::~RouterProcess()
{
    end(SIGKILL);
}

std::string RouterProcess::settings() const
{
    std::ifstream file("deploy/router.toml.template");
    std::ostringstream content;
    content << file.rdbuf();
    std::string text = content.str();
    for (const auto &[name, value] : m_fields) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder))
            text.replace(at, placeholder.size(), value);
    }
    if (text.empty() || text.find("{{") != std::string::npos)
        throw std::runtime_error("the template of the settings can't be filled in");
    return text;
}

void RouterProcess::start()
{
    const std::string file = m_folder + "/" + name() + ".toml";
    const std::string log = m_folder + "/" + name() + ".log";
    std::ofstream(file) << settings();
    const std::string memory = "ALMONDMILL_MAX_MEMORY=" + m_fields.at("limits.memory_mb");
    std::vector<std::string> words{Program, "--config", file};
    std::vector<std::string> variables{memory, "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C"};
    const std::vector<char *> arguments = pointersTo(words);
    const std::vector<char *> environment = pointersTo(variables);
    m_process = ::fork();
    if (m_process != 0)
        return;
    (void)::prctl(PR_SET_PDEATHSIG, SIGKILL); // It must not outlive the case.
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    (void)::dup2(output, STDOUT_FILENO);
    (void)::dup2(output, STDERR_FILENO);
    (void)::execve(Program, arguments.data(), environment.data());
    ::_exit(127);
}

void RouterProcess::end(int signal)
{
    if (m_process <= 0)
        return;
    (void)::kill(m_process, signal);
    (void)::waitpid(m_process, nullptr, 0);
    m_process = -1;
}

bool RouterProcess::isRunning()
{
    if (m_process <= 0)
        return false;
    if (::waitpid(m_process, nullptr, WNOHANG) == 0)
        return true;
    m_process = -1;
    return false;
}

std::size_t RouterProcess::anonymousMemory() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        const std::string field = "RssAnon:";
        if (line.starts_with(field))
            return std::strtoull(line.c_str() + field.size(), nullptr, 10) * BytesPerKilobyte;
    }
    return 0;
}

} // namespace review
