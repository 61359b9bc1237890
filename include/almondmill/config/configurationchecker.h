#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/keylines.h"
#include "almondmill/config/rules.h"

namespace almondmill {

class Findings;

/// Checks what an inventory and rules say: names, references, addresses, paths, keys and ranges.
/// The same checks guard files and what routers read from the object API. `inventoryLines` and
/// `ruleLines` give each finding its place. Cost: linear in the number of entries.
void checkConfiguration(const Inventory &inventory, const Rules &rules,
                        const KeyLines &inventoryLines, const KeyLines &ruleLines,
                        Findings &findings);

} // namespace almondmill
