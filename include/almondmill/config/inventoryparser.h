#pragma once

#include "almondmill/config/inventory.h"

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Reads an inventory from TOML text. What is wrong goes to `findings`; the result is only of use
/// when nothing was found.
Inventory parseInventory(const std::string &text, const std::string &file, Findings &findings);

/// The same from a table that was parsed before.
Inventory readInventory(const toml::table &table, const std::string &file, Findings &findings);

} // namespace almondmill
