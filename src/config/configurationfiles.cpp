#include "almondmill/config/configurationfiles.h"

#include "almondmill/config/configurationchecker.h"
#include "almondmill/config/inventoryparser.h"
#include "almondmill/config/rulesparser.h"
#include "almondmill/config/textfile.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/kernel/inputerror.h"

#include <set>
#include <utility>

namespace almondmill {

namespace {

/// Adds those findings of `checks` whose key has no finding yet, so that, for example, a missing
/// key is not reported again as an empty value.
void addForNewKeys(const Findings &checks, Findings &findings)
{
    std::set<std::pair<std::string, std::string>> reported;
    for (const Finding &finding : findings.items())
        reported.emplace(finding.file, finding.key);
    for (const Finding &finding : checks.items()) {
        if (!reported.contains({finding.file, finding.key}))
            findings.add(finding);
    }
}

} // namespace

ParsedConfiguration parseConfiguration(const SourceText &inventory, const SourceText &rules,
                                       Findings &findings)
{
    const toml::table inventoryTable = parseToml(inventory.text, inventory.file, findings);
    const toml::table rulesTable = parseToml(rules.text, rules.file, findings);
    if (!findings.empty())
        return {};
    ParsedConfiguration parsed;
    parsed.inventory = readInventory(inventoryTable, inventory.file, findings);
    parsed.rules = readRules(rulesTable, rules.file, findings);
    Findings checks;
    checkConfiguration(parsed.inventory, parsed.rules, KeyLines(inventory.file, inventoryTable),
                       KeyLines(rules.file, rulesTable), checks);
    addForNewKeys(checks, findings);
    return parsed;
}

ParsedConfiguration loadConfigurationFiles(const std::string &inventoryFile,
                                           const std::string &rulesFile)
{
    Findings findings;
    ParsedConfiguration parsed = parseConfiguration({inventoryFile, readTextFile(inventoryFile)},
                                                    {rulesFile, readTextFile(rulesFile)}, findings);
    if (!findings.empty())
        throw InputError("config.200", findings);
    return parsed;
}

} // namespace almondmill
