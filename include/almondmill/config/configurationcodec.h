#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill {

/// The entries of inventory and rules as canonical JSON text: equal entries in the same order give
/// equal bytes. Scalar rules are not part of it.
std::string encodeEntries(const Inventory &inventory, const Rules &rules);

/// The reverse. Throws Error "config.301" when the text is not such JSON.
void decodeEntries(const std::string &text, Inventory &inventory, Rules &rules);

} // namespace almondmill
