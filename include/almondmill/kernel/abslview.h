#pragma once

#include <absl/strings/string_view.h>

#include <string_view>

namespace almondmill {

/// The same bytes as Abseil's own view type, which is another one in Debian's build of Abseil.
inline absl::string_view abslView(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace almondmill
