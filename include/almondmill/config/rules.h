#pragma once

#include "almondmill/config/clientaccount.h"

#include <string>
#include <vector>

namespace almondmill {

/// Client accounts and placement policy, which operators maintain in addition to the inventory.
struct Rules
{
    std::vector<ClientAccount> clientAccounts;
    std::string placementPolicy = "owner"; ///< Name of a registered placement policy.

    bool operator==(const Rules &) const = default;
};

} // namespace almondmill
