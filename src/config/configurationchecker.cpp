#include "almondmill/config/configurationchecker.h"

#include "almondmill/config/configurationlimits.h"
#include "almondmill/config/ipaddress.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/placement/placementpolicy.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>

namespace almondmill {

namespace {

constexpr const char *WrongRange = "config.204";
constexpr const char *NeitherModelNorService = "config.210";
constexpr const char *BadName = "config.220";
constexpr const char *Duplicate = "config.221";
constexpr const char *UnknownReference = "config.222";
constexpr const char *BadAddress = "config.223";
constexpr const char *BadPath = "config.224";
constexpr const char *BadCall = "config.225";
constexpr const char *BadKeyHash = "config.226";
constexpr const char *UnknownPolicy = "config.227";

constexpr std::size_t KeyHashDigits = 64;
constexpr const char *ModelPathPrefix = "/v1/"; ///< Reserved for model requests.
constexpr std::array<const char *, 7> Methods{"GET",   "HEAD",   "POST",   "PUT",
                                              "PATCH", "DELETE", "OPTIONS"};

using Names = absl::flat_hash_set<std::string>;

bool isNameCharacter(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || std::string_view("._-/:@+").find(c) != std::string_view::npos;
}

bool isPathCharacter(char c)
{
    return c > ' ' && c < '\x7f' && c != '?' && c != '#';
}

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

/// Checks the entries of one list, such as "endpoint", and adds findings.
class EntryChecker
{
public:
    EntryChecker(std::string list, const KeyLines &lines, Findings &findings)
        : m_list(std::move(list))
        , m_lines(lines)
        , m_findings(findings)
    {}

    const Names &names() const { return m_names; }

    /// Advances to the next entry and checks its name.
    void beginEntry(const std::string &name)
    {
        ++m_index;
        checkName("name", name);
        checkUnique("name", name, m_names);
    }

    void checkName(const std::string &key, const std::string &name)
    {
        if (!name.empty() && name.size() <= limits::MaxNameBytes
            && std::all_of(name.begin(), name.end(), isNameCharacter)) {
            return;
        }
        report(BadName, key,
               "must be 1 to " + std::to_string(limits::MaxNameBytes)
                       + " letters, digits or . _ - / : @ +");
    }

    void checkUnique(const std::string &key, const std::string &value, Names &seen)
    {
        if (!value.empty() && !seen.insert(value).second)
            report(Duplicate, key, "duplicate value '" + value + "'");
    }

    void checkReference(const std::string &key, const std::string &name, const Names &known)
    {
        if (!known.contains(name))
            report(UnknownReference, key, "'" + name + "' is not defined in the inventory");
    }

    void checkRange(const std::string &key, std::uint32_t value, std::uint32_t minimum,
                    std::uint32_t maximum)
    {
        if (value >= minimum && value <= maximum)
            return;
        report(WrongRange, key,
               "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum)
                       + ", got " + std::to_string(value));
    }

    void report(const char *id, const std::string &key, const std::string &message)
    {
        const std::string path = m_list + "[" + std::to_string(m_index) + "]." + key;
        m_findings.add({id, m_lines.source(), m_lines.lineOf(path), path, message});
    }

private:
    std::string m_list;
    const KeyLines &m_lines;
    Findings &m_findings;
    std::size_t m_index = static_cast<std::size_t>(-1);
    Names m_names;
};

bool isPath(const std::string &path)
{
    return !path.empty() && path.front() == '/' && path.size() <= limits::MaxPathBytes
           && path.find("//") == std::string::npos
           && std::all_of(path.begin(), path.end(), isPathCharacter);
}

void checkPathPrefix(const std::string &prefix, EntryChecker &checker, Names &seen)
{
    if (!isPath(prefix) || prefix.back() != '/') {
        checker.report(BadPath, "path_prefix",
                       "must start and end with a slash, with no empty segment, '?' or '#', got '"
                               + prefix + "'");
        return;
    }
    if (prefix.starts_with(ModelPathPrefix) || std::string(ModelPathPrefix).starts_with(prefix))
        checker.report(BadPath, "path_prefix",
                       "'" + prefix + "' overlaps with /v1/, which is reserved for model requests");
    checker.checkUnique("path_prefix", prefix, seen);
}

void checkNotRepeatable(const Service &service, EntryChecker &checker)
{
    if (service.notRepeatable.size() > limits::MaxNotRepeatableCalls) {
        checker.report(BadCall, "not_repeatable",
                       "must hold at most " + std::to_string(limits::MaxNotRepeatableCalls)
                               + " calls, got " + std::to_string(service.notRepeatable.size()));
    }
    Names seen;
    for (const std::string &call : service.notRepeatable) {
        const std::size_t space = call.find(' ');
        const std::string method = call.substr(0, space);
        const std::string path = space == std::string::npos ? "" : call.substr(space + 1);
        const bool known = std::find(Methods.begin(), Methods.end(), method) != Methods.end();
        if (!known || !isPath(path))
            checker.report(BadCall, "not_repeatable",
                           "'" + call + "' must be a method and a path, such as \"POST /a/b\"");
        else if (!path.starts_with(service.pathPrefix))
            checker.report(BadCall, "not_repeatable",
                           "'" + call + "' is not under the service's path_prefix '"
                                   + service.pathPrefix + "'");
        checker.checkUnique("not_repeatable", call, seen);
    }
}

Names checkDataCentres(const Inventory &inventory, const KeyLines &lines, Findings &findings)
{
    EntryChecker checker("data_centre", lines, findings);
    for (const DataCentre &dataCentre : inventory.dataCentres) {
        checker.beginEntry(dataCentre.name);
        checker.checkName("region", dataCentre.region);
    }
    return checker.names();
}

Names checkModels(const Inventory &inventory, const KeyLines &lines, Findings &findings)
{
    EntryChecker checker("model", lines, findings);
    for (const Model &model : inventory.models) {
        checker.beginEntry(model.name);
        checker.checkName("weights", model.weights);
        checker.checkRange("block_tokens", model.blockTokens, 1, limits::MaxBlockTokens);
        checker.checkRange("max_concurrent_loads", model.maxConcurrentLoads, 1,
                           limits::MaxConcurrentLoads);
        checker.checkRange("max_in_flight", model.maxInFlight, 1, limits::MaxInFlight);
    }
    return checker.names();
}

Names checkServices(const Inventory &inventory, const KeyLines &lines, Findings &findings)
{
    EntryChecker checker("service", lines, findings);
    Names prefixes;
    for (const Service &service : inventory.services) {
        checker.beginEntry(service.name);
        checkPathPrefix(service.pathPrefix, checker, prefixes);
        checkNotRepeatable(service, checker);
    }
    return checker.names();
}

void checkInventory(const Inventory &inventory, const KeyLines &lines, Findings &findings)
{
    const Names dataCentres = checkDataCentres(inventory, lines, findings);
    const Names models = checkModels(inventory, lines, findings);
    const Names services = checkServices(inventory, lines, findings);
    EntryChecker checker("endpoint", lines, findings);
    Names addresses;
    for (const Endpoint &endpoint : inventory.endpoints) {
        checker.beginEntry(endpoint.name);
        if (!isIpAndPort(endpoint.address))
            checker.report(BadAddress, "address",
                           "must be IP:port without a host name, got '" + endpoint.address + "'");
        checker.checkUnique("address", endpoint.address, addresses);
        checker.checkReference("data_centre", endpoint.dataCentre, dataCentres);
        if (endpoint.model.empty() == endpoint.service.empty())
            checker.report(NeitherModelNorService, "name",
                           "must name either a model or a service, not both or neither");
        if (!endpoint.model.empty())
            checker.checkReference("model", endpoint.model, models);
        if (!endpoint.service.empty())
            checker.checkReference("service", endpoint.service, services);
    }
}

void checkRules(const Rules &rules, const KeyLines &lines, Findings &findings)
{
    EntryChecker checker("client_account", lines, findings);
    Names keys;
    for (const ClientAccount &account : rules.clientAccounts) {
        checker.beginEntry(account.name);
        if (account.keySha256.size() != KeyHashDigits
            || !std::all_of(account.keySha256.begin(), account.keySha256.end(), isLowerHex)) {
            checker.report(BadKeyHash, "key_sha256", "must be 64 lower-case hex digits");
        }
        checker.checkUnique("key_sha256", account.keySha256, keys);
        checker.checkRange("max_concurrent", account.maxConcurrent, 1,
                           limits::MaxConcurrentRequests);
        checker.checkRange("prompt_tokens_per_second", account.promptTokensPerSecond, 0,
                           limits::MaxPromptTokensPerSecond);
        checker.checkRange("share", account.share, 1, limits::MaxShare);
    }
    if (!PlacementRegistry::isRegistered(rules.placementPolicy)) {
        findings.add({UnknownPolicy, lines.source(), lines.lineOf("placement.policy"),
                      "placement.policy",
                      "'" + rules.placementPolicy + "' is not known; known policies: "
                              + PlacementRegistry::knownNames()});
    }
}

} // namespace

void checkConfiguration(const Inventory &inventory, const Rules &rules,
                        const KeyLines &inventoryLines, const KeyLines &ruleLines,
                        Findings &findings)
{
    checkInventory(inventory, inventoryLines, findings);
    checkRules(rules, ruleLines, findings);
}

} // namespace almondmill
