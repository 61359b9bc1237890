#include "almondmill/http/memorylimits.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t BytesPerMegabyte = 1000000;

/// Memory of the process itself: its code, the tables of endpoints and routers, and the 32 MB that
/// control may take.
constexpr std::size_t ProcessBytes = 40 * BytesPerMegabyte;

/// Head of a request and a copy of its header fields.
constexpr std::size_t HeadBytes = std::size_t(64) << 10U;

} // namespace

std::size_t memoryForCallers(std::uint32_t megabytes, std::size_t connections,
                             std::size_t bytesPerConnection)
{
    if (megabytes == 0)
        return MemoryLimits::Unlimited;
    const std::size_t available = megabytes * BytesPerMegabyte;
    return available - std::min(available, ProcessBytes + connections * bytesPerConnection);
}

std::size_t memoryOfLargestRequest(std::size_t maxBodyBytes)
{
    return 2 * maxBodyBytes + HeadBytes;
}

} // namespace almondmill
