#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <string>

namespace almondmill {

/// Encodes the entries of inventory and rules as canonical JSON: equal entries in the same order
/// give identical bytes. Rules that are single values (placement policy) are not encoded; the root
/// object holds them.
std::string encodeEntries(const Inventory &inventory, const Rules &rules);

/// Decodes the output of encodeEntries(). Throws Error "config.301" if `text` is not valid.
void decodeEntries(const std::string &text, Inventory &inventory, Rules &rules);

} // namespace almondmill
