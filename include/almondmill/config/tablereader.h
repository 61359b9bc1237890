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

/// Reads one TOML table key by key and collects errors: missing and unknown keys, wrong types and
/// values out of range. Invalid input never causes an exception.
class TableReader
{
public:
    using Nested = std::function<void(TableReader &)>;

    /// `path` is the key path of the table, such as "endpoint[3]"; empty for the root table.
    TableReader(const toml::table &table, std::string file, std::string path, Findings &findings);

    /// Line number of the table in its file.
    unsigned line() const;

    /// Line number of `key`, or of the table if the key is absent.
    unsigned lineOf(const std::string &key) const;

    std::string requiredString(const std::string &key);
    std::string optionalString(const std::string &key, const std::string &fallback);
    std::vector<std::string> strings(const std::string &key);
    bool boolean(const std::string &key, bool fallback);

    /// Reads a number in the range `minimum` to `maximum`. A fraction is dropped, so that a limit
    /// never becomes higher than it was written.
    std::uint32_t number(const std::string &key, std::uint32_t fallback, std::uint32_t minimum,
                         std::uint32_t maximum);

    /// Reads a number in the range 0 to `maximum`.
    double fraction(const std::string &key, double fallback, double maximum);

    /// Reads a duration with its unit, such as "250ms", "3s" or "5m".
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback);

    /// Calls `nested` for each table of the array of tables `key`, then reports the table's unknown
    /// keys.
    void eachTable(const std::string &key, const Nested &nested);

    /// Calls `nested` for the table `key` if it is present, then reports the table's unknown keys.
    void table(const std::string &key, const Nested &nested);

    /// Adds a finding located at `key`.
    void report(const std::string &id, const std::string &key, const std::string &message);

    /// Adds a finding for each key of the table that no accessor has read.
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
