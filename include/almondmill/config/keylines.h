#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <toml++/toml.h>

namespace almondmill {

/// Maps the key paths of a TOML file, such as "endpoint[3].address", to their line numbers. Without
/// a TOML table, as for configurations read from the object API, every line number is 0.
class KeyLines
{
public:
    explicit KeyLines(std::string source);
    KeyLines(std::string source, const toml::table &table);

    /// Name of the file, or a description of the stored object.
    const std::string &source() const { return m_source; }

    /// Line of `key`, or of the nearest enclosing table if the key is absent. Constant time for
    /// each level of nesting.
    unsigned lineOf(std::string key) const;

private:
    void addTable(const toml::table &table, const std::string &path);
    void addNode(const toml::node &node, const std::string &path);

    std::string m_source;
    absl::flat_hash_map<std::string, unsigned> m_lines;
};

} // namespace almondmill
