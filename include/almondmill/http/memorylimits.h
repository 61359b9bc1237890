#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace almondmill {

/// Limits of the memory that a process holds for callers and endpoints.
struct MemoryLimits
{
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    std::size_t total = Unlimited;
    std::size_t answers = Unlimited; ///< Of `total`, for answers being received from endpoints.
};

/// Memory that remains for callers and endpoints of a machine with `megabytes`, after the process
/// itself and its connections; zero if nothing remains. Without a limit (0) it is unlimited.
std::size_t memoryForCallers(std::uint32_t megabytes, std::size_t connections,
                             std::size_t bytesPerConnection);

/// Least memory that a request of the largest size takes: a buffer that grows holds its old and its
/// new content.
std::size_t memoryOfLargestRequest(std::size_t maxBodyBytes);

} // namespace almondmill
