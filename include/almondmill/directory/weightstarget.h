#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// The version of a model's weights that all of its engines should serve.
struct WeightsTarget
{
    std::string model;
    std::uint64_t version = 0;
};

} // namespace almondmill
