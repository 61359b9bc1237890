#include "almondmill/kernel/components.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

Components::Components(Node &node)
{
    for (const std::string &name : ComponentRegistry::names())
        m_components.push_back({name, ComponentRegistry::create(name, node)});
    std::stable_sort(m_components.begin(), m_components.end(), [](const auto &a, const auto &b) {
        return a.component->stage() < b.component->stage();
    });
}

Components::~Components()
{
    stop();
}

nlohmann::json Components::dump() const
{
    nlohmann::json result = nlohmann::json::object();
    for (const NamedComponent &entry : m_components) {
        nlohmann::json object = nlohmann::json::object();
        entry.component->dump(object);
        result[entry.name] = std::move(object);
    }
    return result;
}

void Components::start()
{
    for (; m_started < m_components.size(); ++m_started)
        m_components[m_started].component->start();
}

void Components::finishOpenWork()
{
    for (std::size_t i = m_started; i > 0; --i)
        m_components[i - 1].component->finishOpenWork();
}

void Components::stop()
{
    while (m_started > 0)
        m_components[--m_started].component->stop();
}

} // namespace almondmill
