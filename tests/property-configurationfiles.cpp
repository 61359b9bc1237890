#include "almondmill/config/configurationfiles.h"
#include "almondmill/config/partition.h"
#include "almondmill/config/settings.h"
#include "almondmill/config/textfile.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/kernel/inputerror.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

std::string sample(const std::string &file)
{
    return readTextFile(std::string(ALMONDMILL_SOURCE_DIR) + "/examples/" + file);
}

/// Parses settings, which must either succeed or fail with at least one finding.
void readSettings(const std::string &text)
{
    try {
        parseSettings(text, "router.toml");
    } catch (const InputError &error) {
        RC_ASSERT(!error.findings().empty());
    }
}

/// Returns `text` with bytes replaced, removed or duplicated at random positions.
std::string mutated(std::string text)
{
    const auto changes = *rc::gen::inRange(0, 5);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 40));
            break;
        default:
            text.insert(at, text.substr(*rc::gen::inRange<std::size_t>(0, text.size()), 30));
        }
    }
    return text;
}

} // namespace

RC_GTEST_PROP(ConfigurationFilesProperty, RandomBytesGiveFindingsOnly, (const std::string &text))
{
    Findings findings;
    parseConfiguration({"inventory.toml", text}, {"rules.toml", text}, findings);
    readSettings(text);
}

RC_GTEST_PROP(ConfigurationFilesProperty, MutatedFilesGiveFindingsOrAValidConfiguration, ())
{
    const SourceText inventory{"inventory.toml", mutated(sample("rietwerk/inventory.toml"))};
    const SourceText rules{"rules.toml", mutated(sample("rietwerk/rules.toml"))};
    readSettings(mutated(sample("rietwerk/router.toml")));
    Findings findings;
    const ParsedConfiguration parsed = parseConfiguration(inventory, rules, findings);
    if (!findings.empty())
        return;
    Inventory storedInventory;
    Rules storedRules;
    assemble(partition(parsed.inventory, parsed.rules, 0), storedInventory, storedRules);
    RC_ASSERT(storedInventory.endpoints.size() == parsed.inventory.endpoints.size());
}

} // namespace almondmill::test
