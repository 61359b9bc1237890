#pragma once

#include "almondmill/config/inventory.h"

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Parses an inventory from TOML text. Errors are added to `findings`; the result is meaningful
/// only if there are none.
Inventory parseInventory(const std::string &text, const std::string &file, Findings &findings);

/// Reads an inventory from a TOML table that is already parsed.
Inventory readInventory(const toml::table &table, const std::string &file, Findings &findings);

} // namespace almondmill
