#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill {

/// Inventory and rules as canonical JSON text: equal values give equal bytes.
std::string encodeInventory(const Inventory &inventory);
std::string encodeRules(const Rules &rules);

/// The reverse. Throws Error "config.301" when the text is not such JSON.
Inventory decodeInventory(const std::string &text);
Rules decodeRules(const std::string &text);

} // namespace almondmill
