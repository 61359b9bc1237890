#include "output.h"

#include "almondmill/kernel/findings.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace almondmill::cli {

using Json = nlohmann::json;

namespace {

const char *kindName(EntryChange::Kind kind)
{
    switch (kind) {
    case EntryChange::Kind::Added:
        return "added";
    case EntryChange::Kind::Removed:
        return "removed";
    case EntryChange::Kind::Changed:
        return "changed";
    }
    return "changed";
}

} // namespace

void printJson(const Json &json)
{
    std::cout << json.dump(2) << "\n";
}

Json toJson(const Findings &findings)
{
    Json list = Json::array();
    for (const Finding &finding : findings.items()) {
        list.push_back({{"id", finding.id},
                        {"file", finding.file},
                        {"line", finding.line},
                        {"key", finding.key},
                        {"message", finding.message}});
    }
    return list;
}

Json toJson(const std::vector<EntryChange> &changes)
{
    Json list = Json::array();
    for (const EntryChange &change : changes) {
        Json keys = Json::array();
        for (const KeyChange &key : change.keys)
            keys.push_back({{"key", key.key}, {"before", key.before}, {"after", key.after}});
        list.push_back({{"change", kindName(change.kind)},
                        {"list", change.list},
                        {"name", change.name},
                        {"keys", keys}});
    }
    return list;
}

void printChanges(const std::vector<EntryChange> &changes)
{
    for (const EntryChange &change : changes)
        std::cout << change.text() << "\n";
}

} // namespace almondmill::cli
