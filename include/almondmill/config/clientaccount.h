#pragma once

#include "almondmill/config/priority.h"

#include <cstdint>
#include <string>

namespace almondmill {

/// A client account and its limits, which hold for the whole fleet.
struct ClientAccount
{
    std::string name;
    std::string keySha256;                   ///< Lower-case hex SHA-256 of the account's API key.
    std::uint32_t maxConcurrent = 64;        ///< Requests open at once.
    std::uint32_t promptTokensPerSecond = 0; ///< Zero: no limit.
    std::uint32_t share = 1;                 ///< Weight when capacity is short.
    Priority priority = Priority::High;      ///< Where the request says nothing.

    bool operator==(const ClientAccount &) const = default;
};

} // namespace almondmill
