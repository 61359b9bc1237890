#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// A lease as the object API holds it.
struct LeaseRecord
{
    std::string holder;            ///< Address of the holder's listener for other routers.
    std::uint64_t incarnation = 0; ///< Of the holder.
    std::uint64_t fencing = 0;     ///< Grows by one with each change of holder.
    std::uint64_t renewal = 0;     ///< Grows by one with each write, so that writes differ.
    std::chrono::milliseconds duration{0};
    std::chrono::milliseconds idle{0}; ///< Of a lease given up: since its last order.
    std::string note;                  ///< What the holder leaves for those after it.
};

/// The record as JSON text.
std::string encodeLease(const LeaseRecord &record);

/// The reverse. Throws Error "orders.101" when the text is not a lease.
LeaseRecord decodeLease(const std::string &text);

} // namespace almondmill
