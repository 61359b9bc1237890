#include "almondmill/config/configurationdiff.h"

#include "almondmill/config/tomlwriter.h"

#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace almondmill {

namespace {

using Keys = std::map<std::string, std::string>;

/// List and name that identify an entry.
using EntryId = std::pair<std::string, std::string>;
using Entries = std::map<EntryId, Keys>;

std::string valueText(const toml::node &node)
{
    std::ostringstream out;
    node.visit([&](const auto &value) { out << value; });
    return out.str();
}

Keys keysOf(const toml::table &table)
{
    Keys keys;
    for (const auto &[key, node] : table)
        keys.emplace(std::string(key.str()), valueText(node));
    return keys;
}

void addEntries(const toml::table &table, Entries &entries)
{
    for (const auto &[key, node] : table) {
        const std::string list(key.str());
        if (const toml::table *single = node.as_table())
            entries.emplace(EntryId{list, {}}, keysOf(*single));
        const toml::array *array = node.as_array();
        if (!array)
            continue;
        for (const toml::node &item : *array) {
            const toml::table &entry = *item.as_table();
            entries.emplace(EntryId{list, entry["name"].value_or(std::string())}, keysOf(entry));
        }
    }
}

Entries entriesOf(const ParsedConfiguration &configuration)
{
    Entries entries;
    addEntries(inventoryTable(configuration.inventory), entries);
    addEntries(rulesTable(configuration.rules), entries);
    return entries;
}

std::string valueOrEmpty(const Keys &keys, const std::string &key)
{
    const auto found = keys.find(key);
    return found == keys.end() ? std::string() : found->second;
}

std::vector<KeyChange> diffKeys(const Keys &before, const Keys &after)
{
    std::set<std::string> names;
    for (const auto &[key, value] : before)
        names.insert(key);
    for (const auto &[key, value] : after)
        names.insert(key);
    std::vector<KeyChange> changes;
    for (const std::string &name : names) {
        KeyChange change{name, valueOrEmpty(before, name), valueOrEmpty(after, name)};
        if (change.before != change.after)
            changes.push_back(std::move(change));
    }
    return changes;
}

std::string orNone(const std::string &value)
{
    return value.empty() ? "(none)" : value;
}

} // namespace

std::string EntryChange::text() const
{
    const std::string entry = name.empty() ? list : list + " " + name;
    if (kind == Kind::Added)
        return "+ " + entry;
    if (kind == Kind::Removed)
        return "- " + entry;
    std::string text = "~ " + entry + ":";
    for (const KeyChange &change : keys)
        text += " " + change.key + " " + orNone(change.before) + " -> " + orNone(change.after);
    return text;
}

std::vector<EntryChange> diffConfigurations(const ParsedConfiguration &before,
                                            const ParsedConfiguration &after)
{
    const Entries old = entriesOf(before);
    const Entries now = entriesOf(after);
    std::vector<EntryChange> changes;
    for (const auto &[id, keys] : old) {
        const auto found = now.find(id);
        if (found == now.end()) {
            changes.push_back({EntryChange::Kind::Removed, id.first, id.second, {}});
            continue;
        }
        auto keyChanges = diffKeys(keys, found->second);
        if (!keyChanges.empty())
            changes.push_back(
                    {EntryChange::Kind::Changed, id.first, id.second, std::move(keyChanges)});
    }
    for (const auto &[id, keys] : now) {
        if (!old.contains(id))
            changes.push_back({EntryChange::Kind::Added, id.first, id.second, {}});
    }
    return changes;
}

} // namespace almondmill
