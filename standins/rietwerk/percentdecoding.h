#pragma once

#include <string>
#include <string_view>

namespace almondmill::standin::rietwerk {

/// Replaces percent-encoded bytes; other text is kept, malformed or not.
std::string percentDecoded(std::string_view text);

/// Decodes the value of a query field, in which '+' stands for a blank.
std::string queryDecoded(std::string_view text);

} // namespace almondmill::standin::rietwerk
