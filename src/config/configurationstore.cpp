#include "almondmill/config/configurationstore.h"

#include "almondmill/config/configurationcodec.h"
#include "almondmill/config/sha256.h"
#include "almondmill/kernel/error.h"
#include "almondmill/platform/objectstore.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr const char *RootName = "config/root";
constexpr const char *PartPrefix = "config/parts/";

std::string readPart(ObjectStore &store, const std::string &hash, std::chrono::milliseconds timeout)
{
    const auto result = store.read(PartPrefix + hash, timeout);
    if (const auto *object = std::get_if<StoredObject>(&result))
        return object->value;
    throw Error("config.302", "part " + hash + " can't be read");
}

} // namespace

ConfigurationStore::ConfigurationStore(ObjectStore &store, std::chrono::milliseconds timeout)
    : m_store(store)
    , m_timeout(timeout)
{}

LoadResult ConfigurationStore::load()
{
    const auto result = m_store.read(RootName, m_timeout);
    if (std::holds_alternative<Absent>(result))
        return NoConfiguration{};
    if (const auto *unavailable = std::get_if<Unavailable>(&result))
        return LoadFailure{unavailable->reason};
    try {
        const Json root = Json::parse(std::get<StoredObject>(result).value);
        auto inventory = decodeInventory(readPart(m_store, root.at("inventory"), m_timeout));
        auto rules = decodeRules(readPart(m_store, root.at("rules"), m_timeout));
        return LoadedConfiguration{std::make_shared<const Configuration>(
                root.at("version"), std::move(inventory), std::move(rules))};
    } catch (const std::exception &error) {
        return LoadFailure{error.what()};
    }
}

UpdateResult ConfigurationStore::submit(const Inventory &inventory, const Rules &rules,
                                        std::uint64_t baseVersion)
{
    Json root;
    root["version"] = baseVersion + 1;
    std::string hash;
    for (const auto &[key, content] : {std::pair{"inventory", encodeInventory(inventory)},
                                       std::pair{"rules", encodeRules(rules)}}) {
        auto written = writePart(content, hash);
        if (!std::holds_alternative<Applied>(written))
            return written;
        root[key] = hash;
    }

    UpdateResult result;
    if (baseVersion == 0) {
        result = m_store.createIfAbsent(RootName, root.dump(), m_timeout);
    } else {
        const auto current = m_store.read(RootName, m_timeout);
        const auto *object = std::get_if<StoredObject>(&current);
        if (!object)
            return NotApplied{"the root can't be read"};
        if (Json::parse(object->value).at("version") != baseVersion)
            return Conflict{*object};
        result = m_store.update(RootName, root.dump(), object->version, m_timeout);
    }
    if (std::holds_alternative<Applied>(result))
        return Applied{baseVersion + 1};
    return result;
}

UpdateResult ConfigurationStore::writePart(const std::string &content, std::string &hash)
{
    hash = sha256Hex(content);
    auto result = m_store.createIfAbsent(PartPrefix + hash, content, m_timeout);
    if (std::holds_alternative<Conflict>(result))
        return Applied{};
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&result))
        return NotApplied{unknown->reason};
    return result;
}

} // namespace almondmill
