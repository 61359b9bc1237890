#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace almondmill {

class Findings;

/// Reads one TOML table key by key and collects what is wrong: missing and unknown keys, wrong
/// types, values out of range. Never throws for the operator's input.
class TableReader
{
public:
    using Nested = std::function<void(TableReader &)>;

    /// `path` is the key path of the table, such as "endpoint[3]", or empty for the top.
    TableReader(const toml::table &table, std::string file, std::string path, Findings &findings);

    /// Line of the table in its file.
    unsigned line() const;

    /// Line of `key`, or of the table when the key is not there.
    unsigned lineOf(const std::string &key) const;

    std::string requiredString(const std::string &key);
    std::string optionalString(const std::string &key, const std::string &fallback);
    std::vector<std::string> strings(const std::string &key);
    bool boolean(const std::string &key, bool fallback);

    /// A whole number from `least` to `most`.
    std::uint32_t number(const std::string &key, std::uint32_t fallback, std::uint32_t least,
                         std::uint32_t most);

    /// A number from zero to `most`.
    double fraction(const std::string &key, double fallback, double most);

    /// A duration written with its unit, such as "250ms", "3s" or "5m".
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback);

    /// Calls `nested` for each table of the array of tables `key`, and reports its unknown keys.
    void eachTable(const std::string &key, const Nested &nested);

    /// Calls `nested` for the table `key` if it is there, and reports its unknown keys.
    void table(const std::string &key, const Nested &nested);

    /// Adds a finding at `key`.
    void report(const std::string &id, const std::string &key, const std::string &message);

    /// Adds a finding for every key that nothing asked for.
    void reportUnknownKeys();

private:
    const toml::node *find(const std::string &key);
    std::string pathOf(const std::string &key) const;

    const toml::table &m_table;
    std::string m_file;
    std::string m_path;
    Findings &m_findings;
    std::set<std::string> m_known;
};

} // namespace almondmill
