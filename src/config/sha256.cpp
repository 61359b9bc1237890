#include "almondmill/config/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace almondmill {

std::string sha256Hex(std::string_view bytes)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text += Digits[byte >> 4U];
        text += Digits[byte & 0x0fU];
    }
    return text;
}

} // namespace almondmill
