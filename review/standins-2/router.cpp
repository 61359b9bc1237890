#include "router.h"

#include "http.h"

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/almondmilld";
constexpr const char *Template = "deploy/router.toml.template";
constexpr int ControlPort = 8102;
constexpr int FirstInternalPort = 8103;

/// Exit code of a process whose program could not be started.
constexpr int FailedStart = 127;

std::string readFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream)
        throw std::runtime_error("can't read " + file);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// The settings of a small deployment of the users' pages.
std::string settingsOf(const RouterPlace &place)
{
    const auto at = [&](int port) { return place.ip + ":" + std::to_string(port); };
    const std::vector<std::pair<std::string, std::string>> values{
            {"node_name", place.name},
            {"zone", place.zone},
            {"ip", place.ip},
            {"platform.address", place.store},
            {"listen.front", at(Router::CallerPort)},
            {"listen.ready", at(Router::ReadyPort)},
            {"listen.control", at(ControlPort)},
            {"internal_ports.0", std::to_string(FirstInternalPort)},
            {"limits.max_fds", "2870"},
            {"bounds.config_apply_ms", "2000"},
            {"bounds.drain_ms", "2000"},
            {"bounds.grace_s", "8"},
            {"bounds.version_ms", "8000"},
            {"bounds.lease_ms", "3000"},
            {"bounds.reuse_window_s", "10"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_min_retries", "108"},
            {"bounds.budget_window_s", "10"}};
    std::string text = readFile(Template);
    for (const auto &[name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (auto found = text.find(placeholder); found != std::string::npos;
             found = text.find(placeholder, found + value.size()))
            text.replace(found, placeholder.size(), value);
    }
    return text;
}

} // namespace

Router::Router(RouterPlace place, const std::string &folder, const std::string &label)
    : m_place(std::move(place))
{
    const std::string settings = folder + "/" + label + ".toml";
    const std::string log = folder + "/" + label + ".log";
    std::ofstream(settings) << settingsOf(m_place);
    std::string program = Program;
    std::string option = "--config";
    std::string file = settings;
    const std::array<char *, 4> arguments{program.data(), option.data(), file.data(), nullptr};
    std::string path = "PATH=/usr/bin:/bin";
    std::string memory = "ALMONDMILL_MAX_MEMORY=" + std::to_string(m_place.memoryMb);
    const std::array<char *, 3> environment{path.data(), memory.data(), nullptr};
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    m_process = ::fork();
    if (m_process == 0) {
        // The router ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(Program, arguments.data(), environment.data());
        ::_exit(FailedStart);
    }
    ::close(output);
    if (m_process < 0)
        throw std::system_error(errno, std::generic_category(), Program);
}

Router::~Router()
{
    kill();
}

bool Router::isReady() const
{
    const auto answer =
            callOnce(m_place.ip, ReadyPort, "GET /v1/ready", "Host: " + m_place.ip + "\r\n", "",
                     std::chrono::milliseconds(500));
    return answer.status == 200;
}

void Router::kill()
{
    if (m_process < 0)
        return;
    ::kill(m_process, SIGKILL);
    while (waitpid(m_process, nullptr, 0) < 0 && errno == EINTR) {
    }
    m_process = -1;
}

} // namespace review
