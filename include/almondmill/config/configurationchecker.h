#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/keylines.h"
#include "almondmill/config/rules.h"

namespace almondmill {

class Findings;

/// Validates names, references, addresses, paths, API key hashes and numeric ranges of an inventory
/// and its rules. The same checks apply to operators' files and to configurations that routers read
/// from the object API. `inventoryLines` and `ruleLines` supply the file and line of each finding.
/// Runs in time linear in the number of entries.
void checkConfiguration(const Inventory &inventory, const Rules &rules,
                        const KeyLines &inventoryLines, const KeyLines &ruleLines,
                        Findings &findings);

} // namespace almondmill
