#pragma once

#include "almondmill/config/priority.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

class Configuration;

/// What placement needs to know of a request.
struct PlacementRequest
{
    /// Chained hashes of the prompt's whole blocks, outermost prefix first. Seeded with client
    /// account, model and weights version, so keys of two accounts or two versions never meet.
    std::vector<std::uint64_t> prefixKeys;
    Priority priority = Priority::High;
    std::string_view dataCentre; ///< Data centre of the deciding router.
    std::string model;
    const Configuration *configuration = nullptr; ///< That the request is served by; not owned.
};

} // namespace almondmill
