#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace almondmill {

/// Depth of arrays and objects up to which JSON of other writers is read. Deeper values could
/// exhaust the stack of functions that visit them recursively.
constexpr std::size_t MaxJsonDepth = 64;

/// Replaces what the JSON parser rejects or can't hold, so that one such value doesn't make the
/// whole document unreadable. Numbers beyond the range of a double, words that JSON doesn't know,
/// arrays and objects below `MaxJsonDepth`, and strings with bytes that are not UTF-8, control
/// characters or lone surrogates become null; in names of an object's members such characters
/// become
/// '?'. All other text is kept, malformed or not. Complexity: linear.
std::string sanitizeJson(std::string_view text);

} // namespace almondmill
