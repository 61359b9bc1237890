#pragma once

#include <chrono>
#include <cstdint>

namespace almondmill::review {

/// Present time as Unix milliseconds, which the records of all processes of a case share.
inline std::int64_t unixMs()
{
    using std::chrono::milliseconds;
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace almondmill::review
