#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill::test {

/// A valid inventory of `endpoints` endpoints over four data centres, serving four models.
Inventory makeInventory(std::size_t endpoints);

/// Valid rules with `accounts` client accounts.
Rules makeRules(std::size_t accounts);

} // namespace almondmill::test
