#include "percentdecoding.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <cctype>

namespace almondmill::standin::rietwerk {

namespace {

/// '%' and two digits.
constexpr std::size_t EncodedByteLength = 3;

bool isEncodedByte(std::string_view text)
{
    return text.size() >= EncodedByteLength && text[0] == '%'
           && std::isxdigit(static_cast<unsigned char>(text[1])) != 0
           && std::isxdigit(static_cast<unsigned char>(text[2])) != 0;
}

} // namespace

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        const bool isEncoded = isEncodedByte(text);
        if (isEncoded)
            decoded += absl::HexStringToBytes({text.data() + 1, EncodedByteLength - 1});
        else
            decoded += text.front();
        text.remove_prefix(isEncoded ? EncodedByteLength : 1);
    }
    return decoded;
}

std::string queryDecoded(std::string_view text)
{
    std::string spaced(text);
    std::replace(spaced.begin(), spaced.end(), '+', ' ');
    return percentDecoded(spaced);
}

} // namespace almondmill::standin::rietwerk
