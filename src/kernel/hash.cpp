#include "almondmill/kernel/hash.h"

#include <xxhash.h>

namespace almondmill {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace almondmill
