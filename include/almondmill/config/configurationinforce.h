#pragma once

#include "almondmill/config/configurationroot.h"
#include "almondmill/config/partcache.h"
#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/kernel/findings.h"
#include "almondmill/kernel/time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondmill {

struct Node;

/// Result of offering a configuration to this router.
enum class Acceptance {
    Applied,    ///< The offered version is now in force.
    NotNewer,   ///< The version is not higher than the one in force.
    Incomplete, ///< The version is newer, but some of its parts are not in the cache.
    Invalid,    ///< The offer failed validation; the version in force is kept.
};

/// The configuration in force at this router, in the form in which other routers can fetch it. The
/// version never decreases, regardless of the order in which the store and peers deliver versions.
/// Thread-safe. Requests read Node::endpoints and never take this object's lock.
class ConfigurationInForce
{
public:
    explicit ConfigurationInForce(Node &node);

    std::uint64_t version() const;

    /// Cached parts: those of the version in force, and those fetched for a newer version.
    PartCache &cache() { return m_cache; }

    /// Returns the version in force for a router that has `haveVersion` in force and the parts
    /// `haveParts` in its cache; parts that it has already are omitted. The offer has version 0 if
    /// the version in force is not newer than `haveVersion`. Parts that would exceed the size limit
    /// of one message are omitted too; the receiver requests them with a further pull.
    ConfigurationOffer offer(std::uint64_t haveVersion,
                             const std::vector<std::string> &haveParts = {}) const;

    /// The version that failed validation most recently, or 0 if there was none since a
    /// configuration was last applied.
    std::uint64_t refusedVersion() const;

    /// Whether `version`, read from the root object at `storeVersion`, is the one that failed
    /// validation most recently.
    bool isRefused(std::uint64_t version, std::uint64_t storeVersion) const;

    /// Applies the offer if it is newer, complete and valid. `source` appears in log messages.
    Acceptance accept(const ConfigurationOffer &offer, const std::string &source, SteadyTime now);

    /// Records that the root object cannot be decoded, so that it shows in the log, the metrics and
    /// the dump.
    void recordDamagedRoot(const std::string &reason, std::uint64_t storeVersion);

    /// Adds version, age, number of parts and submitter, and the findings of a refused version.
    void dump(nlohmann::json &object, SteadyTime now) const;

private:
    struct Current
    {
        std::uint64_t storeVersion = 0;
        std::string text;
        ConfigurationRoot root;
        SteadyTime since{};
    };

    struct Refusal
    {
        std::uint64_t version = 0;
        std::uint64_t storeVersion = 0;
        Findings findings;
    };

    Acceptance refuseLower(std::uint64_t version, const std::string &source);
    Acceptance refuseInvalid(const ConfigurationOffer &offer, Findings findings,
                             const std::string &source);
    Acceptance applyRoot(const ConfigurationOffer &offer, ConfigurationRoot root,
                         const std::string &source, SteadyTime now);

    Node &m_node;
    PartCache m_cache;
    mutable std::mutex m_mutex;
    Current m_current;
    Refusal m_refusal;
    std::uint64_t m_lastLowerVersion = 0;
};

} // namespace almondmill
