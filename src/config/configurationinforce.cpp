#include "almondmill/config/configurationinforce.h"

#include "almondmill/config/configurationbuilder.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"

#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

constexpr const char *Prefix = "config";
constexpr const char *RefusedMetric = "almondmill_config_refused_total";
constexpr const char *AppliedMetric = "almondmill_config_applied_total";
constexpr std::size_t MaxFindingsInDump = 20;
constexpr std::size_t MaxOfferBytes = 2U << 20U; ///< Half of the maximum message size.

} // namespace

ConfigurationInForce::ConfigurationInForce(Node &node)
    : m_node(node)
{
    m_node.metrics.setGauge("almondmill_config_version",
                            [this] { return static_cast<double>(version()); });
}

std::uint64_t ConfigurationInForce::version() const
{
    return m_node.endpoints.version();
}

ConfigurationOffer ConfigurationInForce::offer(std::uint64_t haveVersion,
                                               const std::vector<std::string> &haveParts) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_current.root.version <= haveVersion)
        return {};
    ConfigurationOffer offer;
    offer.version = m_current.root.version;
    offer.storeVersion = m_current.storeVersion;
    offer.root = m_current.text;
    std::size_t bytes = 0;
    const absl::flat_hash_set<std::string> known(haveParts.begin(), haveParts.end());
    for (const std::string &name : m_current.root.parts) {
        if (partVersion(name) <= haveVersion || known.contains(name))
            continue;
        const auto content = m_cache.find(name);
        if (!content || bytes + content->size() > MaxOfferBytes)
            continue;
        bytes += content->size();
        offer.parts.push_back({name, *content});
    }
    return offer;
}

std::uint64_t ConfigurationInForce::refusedVersion() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_refusal.version;
}

bool ConfigurationInForce::isRefused(std::uint64_t version, std::uint64_t storeVersion) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_refusal.version == version && m_refusal.storeVersion == storeVersion
           && !m_refusal.findings.empty();
}

Acceptance ConfigurationInForce::accept(const ConfigurationOffer &offer, const std::string &source,
                                        SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ConfigurationRoot root;
    try {
        root = decodeRoot(offer.root);
    } catch (const Error &error) {
        Findings findings;
        findings.add({error.id(), "stored root", 0, {}, error.what()});
        return refuseInvalid(offer, std::move(findings), source);
    }
    if (root.version == m_current.root.version)
        return Acceptance::NotNewer;
    if (root.version < m_current.root.version)
        return refuseLower(root.version, source);
    for (const ConfigurationPart &part : offer.parts)
        m_cache.insert(part.hash, part.content);
    if (!m_cache.missing(root.parts).empty())
        return Acceptance::Incomplete;
    return applyRoot(offer, std::move(root), source, now);
}

Acceptance ConfigurationInForce::applyRoot(const ConfigurationOffer &offer, ConfigurationRoot root,
                                           const std::string &source, SteadyTime now)
{
    Findings findings;
    auto configuration = buildConfiguration(root, m_cache, findings);
    if (!configuration)
        return refuseInvalid(offer, std::move(findings), source);
    if (!m_node.endpoints.apply(std::move(configuration)))
        return refuseLower(root.version, source);
    m_current.root = std::move(root);
    m_current.text = offer.root;
    m_current.storeVersion = offer.storeVersion;
    m_current.since = now;
    m_refusal = {};
    m_cache.retain(m_current.root.parts);
    m_node.metrics.counter(AppliedMetric).add();
    log(LogLevel::Info, Prefix,
        "Configuration version " + std::to_string(m_current.root.version) + " from " + source
                + " is now in force.");
    return Acceptance::Applied;
}

void ConfigurationInForce::recordDamagedRoot(const std::string &reason, std::uint64_t storeVersion)
{
    Findings findings;
    findings.add({"config.303", "stored root", 0, {}, reason});
    const std::lock_guard<std::mutex> lock(m_mutex);
    refuseInvalid({0, storeVersion, {}, {}}, std::move(findings), "the platform");
}

void ConfigurationInForce::dump(nlohmann::json &object, SteadyTime now) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_current.since);
    object["version"] = m_current.root.version;
    object["age_ms"] = m_current.root.version == 0 ? 0 : age.count();
    object["parts"] = m_current.root.parts.size();
    if (const SubmissionRecord *record = m_current.root.recordOf(m_current.root.version))
        object["submitter"] = record->submitter;
    if (m_refusal.findings.empty())
        return;
    nlohmann::json findings = nlohmann::json::array();
    for (const Finding &finding : m_refusal.findings.items()) {
        if (findings.size() < MaxFindingsInDump)
            findings.push_back(finding.text());
    }
    object["refused"] = {{"version", m_refusal.version}, {"findings", findings}};
}

Acceptance ConfigurationInForce::refuseLower(std::uint64_t version, const std::string &source)
{
    m_node.metrics.counter(RefusedMetric, "reason=\"lower_version\"").add();
    if (version != m_lastLowerVersion) {
        log(LogLevel::Warning, Prefix,
            "Refused configuration version " + std::to_string(version) + " from " + source
                    + ": version " + std::to_string(m_current.root.version) + " is in force.");
    }
    m_lastLowerVersion = version;
    return Acceptance::NotNewer;
}

Acceptance ConfigurationInForce::refuseInvalid(const ConfigurationOffer &offer, Findings findings,
                                               const std::string &source)
{
    m_node.metrics.counter(RefusedMetric, "reason=\"invalid\"").add();
    const bool known =
            m_refusal.version == offer.version && m_refusal.storeVersion == offer.storeVersion;
    if (!known || m_refusal.findings.empty()) {
        log(LogLevel::Error, Prefix,
            "Refused configuration version " + std::to_string(offer.version) + " from " + source
                    + ": validation failed: " + findings.items().front().text());
    }
    m_refusal = {offer.version, offer.storeVersion, std::move(findings)};
    m_cache.retain(m_current.root.parts);
    return Acceptance::Invalid;
}

} // namespace almondmill
