#pragma once

#include "almondmill/config/configuration.h"
#include "almondmill/platform/updateresult.h"

#include <chrono>
#include <memory>
#include <string>
#include <variant>

namespace almondmill {

class ObjectStore;

/// What reading the accepted configuration gave.
struct LoadedConfiguration
{
    std::shared_ptr<const Configuration> configuration;
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

/// The accepted configuration in the object API: one root object that names immutable,
/// content-addressed parts. A conditional update of the root makes a change atomic.
class ConfigurationStore
{
public:
    ConfigurationStore(ObjectStore &store, std::chrono::milliseconds timeout);

    /// Reads root and parts: one call and one for each part.
    LoadResult load();

    /// Writes new parts, then the root on condition that the version in force is still
    /// `baseVersion`. `Applied::version` is the new version of the configuration.
    UpdateResult submit(const Inventory &inventory, const Rules &rules, std::uint64_t baseVersion);

private:
    UpdateResult writePart(const std::string &content, std::string &hash);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
};

} // namespace almondmill
