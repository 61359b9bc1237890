#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace almondmill {

/// The last broadcast that was received from each router, to recognize those that arrive twice or
/// late.
class BroadcastPositions
{
public:
    /// Records a broadcast. Returns false, without effect, when it is not newer than the last one
    /// of its origin. A router counts its broadcasts anew in each incarnation.
    bool record(const std::string &origin, std::uint64_t incarnation, std::uint64_t sequence);

private:
    struct Position
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };

    absl::flat_hash_map<std::string, Position> m_last; ///< By origin.
};

} // namespace almondmill
