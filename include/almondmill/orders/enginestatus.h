#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// Status that an engine reports.
struct EngineStatus
{
    std::uint64_t incarnation = 0;
    std::string weights;  ///< Version of the weights that it serves.
    bool loading = false; ///< Whether it is loading other weights.
};

} // namespace almondmill
