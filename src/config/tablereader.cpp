#include "almondmill/config/tablereader.h"

#include "almondmill/config/duration.h"
#include "almondmill/kernel/findings.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {
constexpr const char *MissingKey = "config.201";
constexpr const char *UnknownKey = "config.202";
constexpr const char *WrongType = "config.203";
constexpr const char *OutOfRange = "config.204";
constexpr const char *WrongUnit = "config.205";
} // namespace

TableReader::TableReader(const toml::table &table, std::string file, std::string path,
                         Findings &findings)
    : m_table(table)
    , m_file(std::move(file))
    , m_path(std::move(path))
    , m_findings(findings)
{}

unsigned TableReader::line() const
{
    return m_table.source().begin.line;
}

unsigned TableReader::lineOf(const std::string &key) const
{
    const toml::node *node = m_table.get(key);
    return node ? node->source().begin.line : line();
}

std::string TableReader::requiredString(const std::string &key)
{
    if (!find(key)) {
        report(MissingKey, key, "is required but missing");
        return {};
    }
    return optionalString(key, {});
}

std::string TableReader::optionalString(const std::string &key, const std::string &fallback)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<std::string>())
        return *value;
    report(WrongType, key, "must be a string");
    return fallback;
}

std::vector<std::string> TableReader::strings(const std::string &key)
{
    std::vector<std::string> result;
    const toml::node *node = find(key);
    if (!node)
        return result;
    const toml::array *array = node->as_array();
    if (!array) {
        report(WrongType, key, "must be a list of strings");
        return result;
    }
    for (const toml::node &item : *array) {
        if (const auto value = item.value_exact<std::string>())
            result.push_back(*value);
        else
            report(WrongType, key, "must contain only strings");
    }
    return result;
}

bool TableReader::boolean(const std::string &key, bool fallback)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    report(WrongType, key, "must be true or false");
    return fallback;
}

std::uint32_t TableReader::number(const std::string &key, std::uint32_t fallback,
                                  std::uint32_t minimum, std::uint32_t maximum)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    const auto value = node->value<double>();
    if (!value || !node->is_number()) {
        report(WrongType, key, "must be a number");
        return fallback;
    }
    const bool isInRange = *value >= minimum && *value <= maximum; // False for NaN.
    if (!isInRange) {
        report(OutOfRange, key,
               "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                       + ", got " + absl::StrCat(*value));
        return fallback;
    }
    return static_cast<std::uint32_t>(*value);
}

double TableReader::fraction(const std::string &key, double fallback, double maximum)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    const auto value = node->value<double>();
    if (!value || !node->is_number()) {
        report(WrongType, key, "must be a number");
        return fallback;
    }
    const bool isInRange = *value >= 0 && *value <= maximum; // False for NaN.
    if (!isInRange) {
        report(OutOfRange, key,
               "must be from 0 to " + std::to_string(maximum) + ", got " + std::to_string(*value));
        return fallback;
    }
    return *value;
}

std::chrono::milliseconds TableReader::duration(const std::string &key,
                                                std::chrono::milliseconds fallback)
{
    const toml::node *node = find(key);
    if (!node)
        return fallback;
    const auto text = node->value_exact<std::string>();
    if (!text) {
        report(WrongType, key, "must be a string with a unit, such as \"250ms\" or \"3s\"");
        return fallback;
    }
    const auto parsed = parseDuration(*text);
    if (!parsed)
        report(WrongUnit, key,
               "must be a number with the unit ms, s, m or h, of at most a year, got '" + *text
                       + "'");
    return parsed.value_or(fallback);
}

void TableReader::eachTable(const std::string &key, const Nested &nested)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const toml::array *array = node->as_array();
    if (!array) {
        report(WrongType, key, "must be written as [[" + key + "]]");
        return;
    }
    std::size_t index = 0;
    for (const toml::node &item : *array) {
        const std::string path = pathOf(key) + "[" + std::to_string(index++) + "]";
        const toml::table *child = item.as_table();
        if (!child) {
            report(WrongType, key, "must contain only tables");
            continue;
        }
        TableReader reader(*child, m_file, path, m_findings);
        nested(reader);
        reader.reportUnknownKeys();
    }
}

void TableReader::table(const std::string &key, const Nested &nested)
{
    const toml::node *node = find(key);
    if (!node)
        return;
    const toml::table *child = node->as_table();
    if (!child) {
        report(WrongType, key, "must be a table");
        return;
    }
    TableReader reader(*child, m_file, pathOf(key), m_findings);
    nested(reader);
    reader.reportUnknownKeys();
}

void TableReader::report(const std::string &id, const std::string &key, const std::string &message)
{
    m_findings.add({id, m_file, lineOf(key), pathOf(key), message});
}

void TableReader::reportUnknownKeys()
{
    for (const auto &[key, node] : m_table) {
        const std::string name(key.str());
        if (m_known.count(name) == 0)
            report(UnknownKey, name, "is not a known key of this table");
    }
}

const toml::node *TableReader::find(const std::string &key)
{
    m_known.insert(key);
    return m_table.get(key);
}

std::string TableReader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

} // namespace almondmill
