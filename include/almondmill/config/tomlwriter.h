#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <toml++/toml.h>

namespace almondmill {

/// Convert inventory and rules to TOML tables that the parsers accept. Optional keys of an endpoint
/// that are empty or false are omitted. Streaming a table to a file gives a file that can be
/// submitted again.
toml::table inventoryTable(const Inventory &inventory);
toml::table rulesTable(const Rules &rules);

} // namespace almondmill
