#include "almondmill/config/rulesparser.h"

#include "almondmill/config/configurationlimits.h"
#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

namespace {

Priority readPriority(TableReader &reader)
{
    const std::string text = reader.optionalString("priority", "high");
    if (text == "high")
        return Priority::High;
    if (text == "low")
        return Priority::Low;
    reader.report("config.211", "priority", "must be high or low, got '" + text + "'");
    return Priority::High;
}

ClientAccount readClientAccount(TableReader &reader)
{
    ClientAccount account;
    account.name = reader.requiredString("name");
    account.keySha256 = reader.requiredString("key_sha256");
    account.maxConcurrent = reader.number("max_concurrent", account.maxConcurrent, 1,
                                          limits::MaxConcurrentRequests);
    account.promptTokensPerSecond =
            reader.number("prompt_tokens_per_second", account.promptTokensPerSecond, 0,
                          limits::MaxPromptTokensPerSecond);
    account.share = reader.number("share", account.share, 1, limits::MaxShare);
    account.priority = readPriority(reader);
    return account;
}

} // namespace

Rules parseRules(const std::string &text, const std::string &file, Findings &findings)
{
    return readRules(parseToml(text, file, findings), file, findings);
}

Rules readRules(const toml::table &table, const std::string &file, Findings &findings)
{
    TableReader reader(table, file, {}, findings);
    Rules rules;
    reader.eachTable("client_account", [&](TableReader &item) {
        rules.clientAccounts.push_back(readClientAccount(item));
    });
    reader.table("placement", [&](TableReader &placement) {
        rules.placementPolicy = placement.optionalString("policy", rules.placementPolicy);
    });
    reader.reportUnknownKeys();
    return rules;
}

} // namespace almondmill
