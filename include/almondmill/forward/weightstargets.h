#pragma once

#include "almondmill/directory/weightstarget.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// The versions of each model's weights that were named as targets, and since when this router
/// knows each of them.
class WeightsTargets
{
public:
    /// A version, and since when it is known to have been named.
    struct NamedVersion
    {
        std::uint64_t version = 0;
        SteadyTime since;
    };

    /// Records that `target` was named at `since` or earlier. Returns true when its version is new
    /// and newer than all known ones.
    bool learn(const WeightsTarget &target, SteadyTime since);

    /// The newest version; nothing when no version of the model was named.
    std::optional<std::uint64_t> newest(std::string_view model) const;

    /// Since when a version newer than `version` is known; nothing while there is none.
    std::optional<SteadyTime> outdatedSince(std::string_view model, std::uint64_t version) const;

    /// The newest version of every model.
    std::vector<WeightsTarget> all() const;

    /// The known versions of a model, in ascending order.
    const std::vector<NamedVersion> &knownVersions(std::string_view model) const;

private:
    absl::flat_hash_map<std::string, std::vector<NamedVersion>> m_named; ///< In ascending order.
};

} // namespace almondmill
