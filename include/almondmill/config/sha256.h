#pragma once

#include <string>
#include <string_view>

namespace almondmill {

/// Lower-case hex SHA-256 of `bytes`.
std::string sha256Hex(std::string_view bytes);

} // namespace almondmill
