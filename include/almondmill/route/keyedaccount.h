#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// A client account as the routing configuration holds it: known by any of several keys.
struct KeyedAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's where it is set.
    bool isolated = false;                 ///< Shares no cached prompt with other accounts.
};

} // namespace almondmill
