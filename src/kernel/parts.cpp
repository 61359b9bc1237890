#include "almondmill/kernel/parts.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

Parts::Parts(Node &node)
{
    for (const std::string &name : PartRegistry::names())
        m_components.push_back({name, PartRegistry::create(name, node)});
    std::stable_sort(m_components.begin(), m_components.end(), [](const auto &a, const auto &b) {
        return a.component->stage() < b.component->stage();
    });
}

Parts::~Parts()
{
    stop();
}

nlohmann::json Parts::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const NamedComponent &entry : m_components) {
        nlohmann::json object = nlohmann::json::object();
        entry.component->dump(object);
        result[entry.name] = std::move(object);
    }
    return result;
}

void Parts::start()
{
    for (; m_started < m_components.size(); ++m_started)
        m_components[m_started].component->start();
}

void Parts::finishOpenWork()
{
    for (std::size_t i = m_started; i > 0; --i)
        m_components[i - 1].component->finishOpenWork();
}

void Parts::stop()
{
    while (m_started > 0)
        m_components[--m_started].component->stop();
}

} // namespace almondmill
