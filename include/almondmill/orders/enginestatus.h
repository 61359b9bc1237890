#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// What an engine tells of itself.
struct EngineStatus
{
    std::uint64_t incarnation = 0;
    std::string weights;  ///< Version that it serves.
    bool loading = false; ///< Whether it is changing to other weights.
};

} // namespace almondmill
