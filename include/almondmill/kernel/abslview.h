#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace almondmill {

/// Converts to `absl::string_view`, which is a type of its own, not an alias of `std::string_view`,
/// in Debian's build of Abseil.
inline absl::string_view abslView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace almondmill
