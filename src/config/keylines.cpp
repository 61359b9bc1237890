#include "almondmill/config/keylines.h"

namespace almondmill {

KeyLines::KeyLines(std::string source)
    : m_source(std::move(source))
{}

KeyLines::KeyLines(std::string source, const toml::table &table)
    : m_source(std::move(source))
{
    addTable(table, {});
}

unsigned KeyLines::lineOf(std::string key) const
{
    while (!key.empty()) {
        const auto found = m_lines.find(key);
        if (found != m_lines.end())
            return found->second;
        const std::size_t dot = key.rfind('.');
        key.resize(dot == std::string::npos ? 0 : dot);
    }
    return 0;
}

void KeyLines::addTable(const toml::table &table, const std::string &path)
{
    for (const auto &[key, node] : table)
        addNode(node, path.empty() ? std::string(key.str()) : path + "." + std::string(key.str()));
}

void KeyLines::addNode(const toml::node &node, const std::string &path)
{
    m_lines[path] = node.source().begin.line;
    if (const toml::table *table = node.as_table())
        addTable(*table, path);
    const toml::array *array = node.as_array();
    if (!array)
        return;
    std::size_t index = 0;
    for (const toml::node &item : *array)
        addNode(item, path + "[" + std::to_string(index++) + "]");
}

} // namespace almondmill
