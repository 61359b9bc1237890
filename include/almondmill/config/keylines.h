#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <toml++/toml.h>

namespace almondmill {

/// The line of every key of a TOML file, by key path such as "endpoint[3].address". Without a file,
/// as for what is read from the object API, every line is zero.
class KeyLines
{
public:
    explicit KeyLines(std::string source);
    KeyLines(std::string source, const toml::table &table);

    /// Name of the file or object.
    const std::string &source() const { return m_source; }

    /// Line of `key`, or of the nearest table around it. Cost: constant for each level.
    unsigned lineOf(std::string key) const;

private:
    void addTable(const toml::table &table, const std::string &path);
    void addNode(const toml::node &node, const std::string &path);

    std::string m_source;
    absl::flat_hash_map<std::string, unsigned> m_lines;
};

} // namespace almondmill
