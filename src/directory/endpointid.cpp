#include "almondmill/directory/endpointid.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstddef>

namespace almondmill {

namespace {

constexpr std::size_t MaxIdBytes = 128;

bool isIdCharacter(char character)
{
    constexpr std::string_view Punctuation = "-._~:@";
    return absl::ascii_isalnum(static_cast<unsigned char>(character))
           || Punctuation.find(character) != std::string_view::npos;
}

} // namespace

bool isEndpointId(std::string_view text)
{
    return !text.empty() && text.size() <= MaxIdBytes
           && std::all_of(text.begin(), text.end(), isIdCharacter);
}

} // namespace almondmill
