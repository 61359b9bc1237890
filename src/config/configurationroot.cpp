#include "almondmill/config/configurationroot.h"

#include "almondmill/config/sha256.h"
#include "almondmill/kernel/error.h"

#include <nlohmann/json.hpp>

#include <bit>
#include <charconv>

namespace almondmill {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmissionRecord, version, submission, submitter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RetiredParts, version, parts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationRoot, version, placementPolicy, parts, history,
                                   retired)

namespace {

constexpr std::size_t HashDigits = 32;
constexpr std::size_t MaxParts = 4096;
constexpr std::uint64_t MaxVersion = 1ULL << 53U; ///< Integers are exact in JSON up to here.

std::string contentHash(const std::string &content)
{
    return sha256Hex(content).substr(0, HashDigits);
}

} // namespace

const SubmissionRecord *ConfigurationRoot::recordOf(std::uint64_t recordVersion) const
{
    for (const SubmissionRecord &record : history) {
        if (record.version == recordVersion)
            return &record;
    }
    return nullptr;
}

std::string encodeRoot(const ConfigurationRoot &root)
{
    return Json(root).dump();
}

ConfigurationRoot decodeRoot(const std::string &text)
{
    ConfigurationRoot root;
    try {
        root = Json::parse(text).get<ConfigurationRoot>();
    } catch (const Json::exception &error) {
        throw Error("config.303", std::string("cannot decode the root object: ") + error.what());
    }
    if (root.version == 0 || root.version > MaxVersion)
        throw Error("config.303", "root object: version must be from 1 to "
                                          + std::to_string(MaxVersion) + ", got "
                                          + std::to_string(root.version));
    if (!std::has_single_bit(root.parts.size()) || root.parts.size() > MaxParts)
        throw Error("config.303", "root object: number of parts must be a power of two up to "
                                          + std::to_string(MaxParts) + ", got "
                                          + std::to_string(root.parts.size()));
    return root;
}

std::string partName(std::uint64_t version, const std::string &content)
{
    return std::to_string(version) + "." + contentHash(content);
}

bool isPartContent(const std::string &name, const std::string &content)
{
    return partHash(name) == contentHash(content);
}

std::uint64_t partVersion(const std::string &name)
{
    std::uint64_t version = 0;
    const char *end = name.data() + name.size();
    const auto [rest, error] = std::from_chars(name.data(), end, version);
    const bool isVersion = error == std::errc() && rest != end && *rest == '.';
    return isVersion ? version : UINT64_MAX;
}

std::string partHash(const std::string &name)
{
    const std::size_t dot = name.find('.');
    return dot == std::string::npos ? std::string() : name.substr(dot + 1);
}

} // namespace almondmill
