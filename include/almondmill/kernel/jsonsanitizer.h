#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace almondmill {

/// Depth of arrays and objects up to which JSON of other writers is read. Deeper values could
/// exhaust the stack of functions that visit them recursively.
constexpr std::size_t MaxJsonDepth = 64;

/// Stands in a sanitized string for bytes that can't be read: U+FFFF, which is no character.
constexpr std::string_view UnreadableMark = "\xef\xbf\xbf";

/// What becomes of strings with bytes that are not UTF-8, control characters or lone surrogates.
enum class UnreadableStrings {
    Null,   ///< They become null; in names of an object's members such characters become '?'.
    Marked, ///< They keep what can be read, and have an `UnreadableMark` where the rest stood.
};

/// Replaces what the JSON parser rejects or can't hold, so that one such value doesn't make the
/// whole document unreadable. Numbers beyond the range of a double, words that JSON doesn't know,
/// and arrays and objects below `MaxJsonDepth` become null; strings as `unreadable` says. All other
/// text is kept, malformed or not. Complexity: linear.
std::string sanitizeJson(std::string_view text,
                         UnreadableStrings unreadable = UnreadableStrings::Null);

} // namespace almondmill
