#pragma once

#include "almondmill/route/accountquota.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// A client account of the routing configuration. A request belongs to it when it carries any of
/// its keys.
struct KeyedAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority when set.
    bool isolated = false; ///< Whether other accounts cannot share its cached prompts.
    std::optional<AccountQuota> quota = std::nullopt;
};

} // namespace almondmill
