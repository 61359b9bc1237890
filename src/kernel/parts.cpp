#include "almondmill/kernel/parts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

Parts::Parts(Node &node)
{
    for (const std::string &name : PartRegistry::names())
        m_parts.push_back({name, PartRegistry::create(name, node)});
    std::stable_sort(m_parts.begin(), m_parts.end(), [](const auto &a, const auto &b) {
        return a.part->stage() < b.part->stage();
    });
}

Parts::~Parts()
{
    stop();
}

nlohmann::json Parts::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const NamedPart &entry : m_parts) {
        nlohmann::json object = nlohmann::json::object();
        entry.part->dump(object);
        result[entry.name] = std::move(object);
    }
    return result;
}

void Parts::start()
{
    for (; m_started < m_parts.size(); ++m_started)
        m_parts[m_started].part->start();
}

void Parts::finishOpenWork()
{
    for (std::size_t i = m_started; i > 0; --i)
        m_parts[i - 1].part->finishOpenWork();
}

void Parts::stop()
{
    while (m_started > 0)
        m_parts[--m_started].part->stop();
}

} // namespace almondmill
