#pragma once

#include <string_view>

namespace almondmill {

/// Whether the texts are JSON and have the same value; the order of an object's members and white
/// space make no difference.
bool isSameJson(std::string_view first, std::string_view second);

} // namespace almondmill
