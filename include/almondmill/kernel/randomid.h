#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// Returns 128 random bits as 32 hex digits, for ids of attempts, claims and requests.
std::string randomId();

/// Returns a random, non-zero incarnation number of 64 bits.
std::uint64_t randomIncarnation();

} // namespace almondmill
