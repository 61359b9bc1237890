#pragma once

#include "almondmill/config/configuration.h"
#include "almondmill/config/configurationroot.h"
#include "almondmill/config/partcache.h"
#include "almondmill/store/updateresult.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace almondmill {

class ObjectStore;

/// Name of the root object; those of parts start with PartPrefix.
constexpr const char *RootName = "config/root";
constexpr const char *PartPrefix = "config/parts/";

/// What reading the accepted configuration gave.
struct LoadedConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    std::string submitter; ///< Who submitted it.
};

/// Nothing was accepted yet.
struct NoConfiguration
{};

/// The configuration could not be read, or what is stored is not valid.
struct LoadFailure
{
    std::string reason;
};

using LoadResult = std::variant<LoadedConfiguration, NoConfiguration, LoadFailure>;

/// The root object as it stands in the object API.
struct StoredRoot
{
    ConfigurationRoot root;
    std::string text;
    std::uint64_t storeVersion = 0; ///< Version of the root object.
};

/// The root object stands there, but is not a root.
struct DamagedRoot
{
    std::string reason;
    std::uint64_t storeVersion = 0;
};

using RootResult = std::variant<StoredRoot, NoConfiguration, DamagedRoot, LoadFailure>;

/// The accepted configuration in the object API: one root object that names immutable,
/// content-addressed parts. A conditional update of the root makes a change atomic.
class ConfigurationStore
{
public:
    ConfigurationStore(ObjectStore &store, std::chrono::milliseconds timeout);

    /// Reads the root: one call.
    RootResult readRoot();

    /// Reads those parts of `root` that are not in `cache`: one call each, a few at a time. Nothing
    /// is returned when `cache` holds all of them afterwards.
    std::optional<LoadFailure> fetchParts(const ConfigurationRoot &root, PartCache &cache);

    /// Reads root and parts; parts seen by an earlier call of this object are not read again.
    LoadResult load();

    /// Writes new parts, then the root on condition that the version in force is still
    /// `baseVersion`. `Applied::version` is the new version of the configuration. An answer lost
    /// after the change took effect is found out by reading back; OutcomeUnknown when that
    /// could not tell. Changes nothing that is named by a root when it does not succeed.
    UpdateResult submit(const Inventory &inventory, const Rules &rules, std::uint64_t baseVersion,
                        const std::string &submitter = "unknown");

    /// The same for a root that is damaged, gone, or older than what is in force at the routers, as
    /// after a restored backup: the next version is counted from `inForceVersion`. Conflict when
    /// the root is sound and not older. What the root said is lost.
    UpdateResult repair(const Inventory &inventory, const Rules &rules,
                        std::uint64_t inForceVersion, const std::string &submitter);

private:
    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    PartCache m_cache;
};

} // namespace almondmill
