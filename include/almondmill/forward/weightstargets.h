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

/// The versions of each model's weights that were named, and since when each is known here.
class WeightsTargets
{
public:
    /// A version and since when it is known to be named.
    struct Named
    {
        std::uint64_t version = 0;
        SteadyTime since;
    };

    /// Takes over that `target` was named by `since`; says whether its version is the newest known.
    bool learn(const WeightsTarget &target, SteadyTime since);

    /// The newest version; nothing while no version of the model was named.
    std::optional<std::uint64_t> newest(std::string_view model) const;

    /// Since when weights of `version` are known to be old; nothing while they are the newest.
    std::optional<SteadyTime> oldSince(std::string_view model, std::uint64_t version) const;

    /// The newest version of every model.
    std::vector<WeightsTarget> all() const;

    /// The versions of a model that are remembered, ascending.
    const std::vector<Named> &named(std::string_view model) const;

private:
    absl::flat_hash_map<std::string, std::vector<Named>> m_named; ///< Ascending.
};

} // namespace almondmill
