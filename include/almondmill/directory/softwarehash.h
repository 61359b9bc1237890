#pragma once

#include <cstdint>

namespace almondmill {

struct Registration;

/// Short hash of a service and of a version of its software. What two versions write doesn't fit
/// together in one stream.
using SoftwareHash = std::uint32_t;

SoftwareHash softwareHash(const Registration &entry);

} // namespace almondmill
