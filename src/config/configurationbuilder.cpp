#include "almondmill/config/configurationbuilder.h"

#include "almondmill/config/configurationchecker.h"
#include "almondmill/config/configurationroot.h"
#include "almondmill/config/partcache.h"
#include "almondmill/config/partition.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

namespace {

constexpr const char *InventorySource = "stored inventory";
constexpr const char *RulesSource = "stored rules";

std::vector<std::string> contents(const ConfigurationRoot &root, const PartCache &cache)
{
    std::vector<std::string> result;
    result.reserve(root.parts.size());
    for (const std::string &name : root.parts) {
        const auto content = cache.find(name);
        if (!content)
            throw Error("config.302", "part " + name + " is not in the cache");
        result.push_back(*content);
    }
    return result;
}

} // namespace

std::shared_ptr<const Configuration> buildConfiguration(const ConfigurationRoot &root,
                                                        const PartCache &cache, Findings &findings)
{
    Inventory inventory;
    Rules rules;
    try {
        assemble(contents(root, cache), inventory, rules);
    } catch (const Error &error) {
        findings.add({error.id(), InventorySource, 0, {}, error.what()});
        return nullptr;
    }
    rules.placementPolicy = root.placementPolicy;
    checkConfiguration(inventory, rules, KeyLines(InventorySource), KeyLines(RulesSource),
                       findings);
    if (!findings.empty())
        return nullptr;
    return std::make_shared<const Configuration>(root.version, std::move(inventory),
                                                 std::move(rules));
}

} // namespace almondmill
