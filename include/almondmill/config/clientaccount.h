#pragma once

#include "almondmill/config/priority.h"

#include <cstdint>
#include <string>

namespace almondmill {

/// A client account with its limits. The limits apply across the whole fleet of routers.
struct ClientAccount
{
    std::string name;
    std::string keySha256;                   ///< Lower-case hex SHA-256 of the account's API key.
    std::uint32_t maxConcurrent = 64;        ///< Maximum number of requests in flight.
    std::uint32_t promptTokensPerSecond = 0; ///< Rate limit; 0 disables it.
    std::uint32_t share = 1;                 ///< Relative weight when capacity is short.
    Priority priority = Priority::High;      ///< Default for requests without a priority.

    bool operator==(const ClientAccount &) const = default;
};

} // namespace almondmill
