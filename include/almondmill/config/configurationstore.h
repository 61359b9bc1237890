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

/// Name of the root object. Names of part objects start with PartPrefix.
constexpr const char *RootName = "config/root";
constexpr const char *PartPrefix = "config/parts/";

/// The accepted configuration was read and is valid.
struct LoadedConfiguration
{
    std::shared_ptr<const Configuration> configuration;
    std::string submitter;
};

/// No configuration has been accepted yet: there is no root object.
struct NoConfiguration
{};

/// The configuration could not be read, or the stored configuration is invalid.
struct LoadFailure
{
    std::string reason;
};

using LoadResult = std::variant<LoadedConfiguration, NoConfiguration, LoadFailure>;

/// The root object as stored in the object API.
struct StoredRoot
{
    ConfigurationRoot root;
    std::string text;
    std::uint64_t storeVersion = 0; ///< Version of the root object.
};

/// The root object exists, but its content cannot be decoded.
struct DamagedRoot
{
    std::string reason;
    std::uint64_t storeVersion = 0;
};

using RootResult = std::variant<StoredRoot, NoConfiguration, DamagedRoot, LoadFailure>;

/// Access to the accepted configuration in the object API. It consists of one root object that
/// references immutable, content-addressed parts. A conditional update (compare-and-swap) of the
/// root makes every change atomic.
class ConfigurationStore
{
public:
    ConfigurationStore(ObjectStore &store, std::chrono::milliseconds timeout);

    /// Reads the root with one call.
    RootResult readRoot();

    /// Reads the parts of `root` that are not in `cache`, with one call per part and a limited
    /// number of concurrent calls. Returns nullopt if `cache` holds all parts afterwards.
    std::optional<LoadFailure> fetchParts(const ConfigurationRoot &root, PartCache &cache);

    /// Reads the root and its parts. Parts that an earlier load() has read are taken from a cache.
    LoadResult load();

    /// Writes new parts, then updates the root on condition that its version is still
    /// `baseVersion`. `Applied::version` is the new version of the configuration. If the answer to
    /// the update is lost, the root is read back to find out whether it took effect; the result is
    /// OutcomeUnknown if that is inconclusive. A failed submission changes no object that a root
    /// references.
    UpdateResult submit(const Inventory &inventory, const Rules &rules, std::uint64_t baseVersion,
                        const std::string &submitter = "unknown");

    /// Like submit(), but replaces a root that is damaged, absent, or older than the version in
    /// force at the routers, for example after a backup was restored. The new version is one higher
    /// than `inForceVersion`. Returns Conflict if the root is intact and not older. The content of
    /// the replaced root, including its history, is lost.
    UpdateResult repair(const Inventory &inventory, const Rules &rules,
                        std::uint64_t inForceVersion, const std::string &submitter);

private:
    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    PartCache m_cache;
};

} // namespace almondmill
