#include "support/routerprocess.h"

#include "support/loopback.h"
#include "support/waituntil.h"

#include <httplib.h>

#include <fstream>

namespace almondmill::test {

namespace {

std::string quotedList(const std::vector<std::string> &items)
{
    std::string list;
    for (const std::string &item : items)
        list += (list.empty() ? "\"" : ", \"") + item + "\"";
    return "[" + list + "]";
}

} // namespace

RouterProcess::RouterProcess(const std::string &platformUrl, const std::string &extraSettings,
                             const std::vector<std::string> &seeds)
    : m_address(nextLoopbackAddress())
    , m_settingsFile("/tmp/almondmill-test-" + m_address + ".toml")
{
    std::ofstream out(m_settingsFile);
    out << "name = \"router-" << m_address << "\"\n"
        << "data_centre = \"a\"\n"
        << "listen = \"" << m_address << ":8080\"\n"
        << "operators_listen = \"" << m_address << ":9090\"\n"
        << "peers_listen = \"" << m_address << ":7070\"\n"
        << "seeds = " << quotedList(seeds) << "\n"
        << "platform = \"" << platformUrl << "\"\n"
        << "log_level = \"error\"\n"
        << extraSettings << "\n";
    out.close();
    restart();
}

RouterProcess::~RouterProcess()
{
    m_process.reset();
    std::remove(m_settingsFile.c_str());
}

void RouterProcess::restart()
{
    m_process.reset();
    m_process = std::make_unique<ChildProcess>(
            "almondmilld", std::vector<std::string>{"--config", m_settingsFile});
}

bool RouterProcess::waitUntilReady() const
{
    return waitUntil([&] {
        httplib::Client client(operatorsUrl());
        const auto result = client.Get("/readyz");
        return result && result->status == 200;
    });
}

} // namespace almondmill::test
