#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// Content of the stored lease object.
struct LeaseRecord
{
    std::string holder;            ///< Name or peer address of the holder; empty when released.
    std::uint64_t incarnation = 0; ///< Of the holder.
    std::uint64_t fencing = 0;     ///< Fencing token; increases with each change of holder.
    std::uint64_t renewal = 0;     ///< Increases by one with each write, so that all writes differ.
    std::chrono::milliseconds duration{0};
    std::chrono::milliseconds idle{0}; ///< Time between the last order and the lease's release.
    std::string note;                  ///< Data that the holder stores for later processes.
    /// Time since the holder before this one may have sent its last order; nothing without one.
    std::optional<std::chrono::milliseconds> previousOrdersAge;
    std::uint64_t era = 0; ///< Of the store when the record was written; zero if it stated none.
};

/// Serializes a record to JSON text.
std::string encodeLease(const LeaseRecord &record);

/// Parses a record. Throws Error "orders.101" when the text is not a valid one.
LeaseRecord decodeLease(const std::string &text);

} // namespace almondmill
