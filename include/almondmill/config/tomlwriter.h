#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <toml++/toml.h>

namespace almondmill {

/// Inventory and rules as the TOML tables that the parsers read; optional keys that say nothing are
/// left out. Written to a stream, such a table is a file that can be submitted again.
toml::table inventoryTable(const Inventory &inventory);
toml::table rulesTable(const Rules &rules);

} // namespace almondmill
