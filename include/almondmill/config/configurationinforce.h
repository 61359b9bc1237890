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

/// What became of a configuration that was offered to this router.
enum class Acceptance {
    Applied,    ///< It is in force now.
    NotNewer,   ///< Its version is not higher than the one in force.
    Incomplete, ///< It is newer, but parts are missing here.
    Invalid,    ///< It is newer, but not valid; the one in force stays.
};

/// The configuration in force at this router, as others can have it from here. The version only
/// grows, whoever offers what in whatever order. Safe to use from several threads; requests read
/// Node::endpoints and never wait for this.
class ConfigurationInForce
{
public:
    explicit ConfigurationInForce(Node &node);

    std::uint64_t version() const;

    /// Parts by name: those in force, and those fetched for a newer version.
    PartCache &cache() { return m_cache; }

    /// The version in force, without the parts that a router with `haveVersion` in force has and
    /// those in `haveParts`; version zero unless it is newer than `haveVersion`. Parts beyond the
    /// bound of one message are left out: who lacks them asks again.
    ConfigurationOffer offer(std::uint64_t haveVersion,
                             const std::vector<std::string> &haveParts = {}) const;

    /// The newest version that was found invalid, until a newer one is in force; else zero.
    std::uint64_t refusedVersion() const;

    /// Whether `version` of the root at `storeVersion` was found invalid before.
    bool isRefused(std::uint64_t version, std::uint64_t storeVersion) const;

    /// Puts the offer in force if it is newer, complete and valid. `source` is for the log.
    Acceptance accept(const ConfigurationOffer &offer, const std::string &source, SteadyTime now);

    /// Notes that the root object can't be read as a root, so that operators see it.
    void noteDamagedRoot(const std::string &reason, std::uint64_t storeVersion);

    /// Adds version, age, number of parts, and what was refused and why.
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
    std::uint64_t m_lastLower = 0;
};

} // namespace almondmill
