#include "almondmill/config/rulesparser.h"

#include "almondmill/config/tablereader.h"
#include "almondmill/config/tomltext.h"
#include "almondmill/kernel/findings.h"

namespace almondmill {

namespace {

constexpr std::uint32_t MostConcurrent = 1000000;
constexpr std::uint32_t MostTokensPerSecond = 1000000000;
constexpr std::uint32_t MostShare = 10000;

Priority readPriority(TableReader &reader)
{
    const std::string text = reader.optionalString("priority", "high");
    if (text == "high")
        return Priority::High;
    if (text == "low")
        return Priority::Low;
    reader.report("config.211", "priority", "must be high or low");
    return Priority::High;
}

ClientAccount readClientAccount(TableReader &reader)
{
    ClientAccount account;
    account.name = reader.requiredString("name");
    account.keySha256 = reader.requiredString("key_sha256");
    account.maxConcurrent =
            reader.number("max_concurrent", account.maxConcurrent, 1, MostConcurrent);
    account.promptTokensPerSecond = reader.number(
            "prompt_tokens_per_second", account.promptTokensPerSecond, 0, MostTokensPerSecond);
    account.share = reader.number("share", account.share, 1, MostShare);
    account.priority = readPriority(reader);
    return account;
}

} // namespace

Rules parseRules(const std::string &text, const std::string &file, Findings &findings)
{
    const toml::table table = parseToml(text, file, findings);
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
