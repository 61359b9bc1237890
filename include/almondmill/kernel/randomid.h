#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// 128 random bits as 32 hex digits: for attempts, claims and requests.
std::string randomId();

/// 64 random bits, never zero: for incarnations.
std::uint64_t randomIncarnation();

} // namespace almondmill
