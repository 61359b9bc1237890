#pragma once

#include "almondmill/config/priority.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

class Configuration;

/// The properties of a request that placement uses.
struct PlacementRequest
{
    /// Chained hashes of the prompt's complete blocks, outermost prefix first. The chain is seeded
    /// with client account, model and weights version, so different accounts or versions have
    /// different keys.
    std::vector<std::uint64_t> prefixKeys;
    Priority priority = Priority::High;
    std::string_view dataCentre; ///< Data centre of the deciding router.
    std::string model;
    const Configuration *configuration = nullptr; ///< Serves the request; not owned.
};

} // namespace almondmill
