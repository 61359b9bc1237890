#include "accepted.h"

#include "almondmill/kernel/error.h"

namespace almondmill::cli {

AcceptedConfiguration readAcceptedConfiguration(ConfigurationStore &store)
{
    const LoadResult result = store.load();
    if (const auto *failure = std::get_if<LoadFailure>(&result))
        throw Error("cli.101", "cannot read the accepted configuration: " + failure->reason);
    const auto *loaded = std::get_if<LoadedConfiguration>(&result);
    if (!loaded)
        return {};
    const Configuration &configuration = *loaded->configuration;
    return {configuration.version(),
            loaded->submitter,
            {configuration.inventory(), configuration.rules()}};
}

} // namespace almondmill::cli
