#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <cstddef>
#include <string>
#include <vector>

namespace almondmill {

/// Maximum encoded size of one part.
constexpr std::size_t MaxPartBytes = 64U << 10U;

/// Distributes the entries of inventory and rules over parts by the hash of kind and name, so that
/// a change of one entry changes one part. Each part is canonical JSON: equal entries give
/// identical bytes. The number of parts is a power of two that grows with the total size.
/// `previousCount` (0 if there is no previous version) is kept as long as every part fits and the
/// mean part size stays within its limits; this hysteresis prevents rewriting all parts whenever
/// the size fluctuates around a threshold. Throws Error "config.304" if an entry is too large for a
/// part. Runs in time linear in the number of entries.
std::vector<std::string> partition(const Inventory &inventory, const Rules &rules,
                                   std::size_t previousCount);

/// Restores inventory and rules from all parts, with each list sorted by name. Does not set the
/// values that the root object holds. Throws Error "config.301" if a part is not valid JSON of this
/// form.
void assemble(const std::vector<std::string> &parts, Inventory &inventory, Rules &rules);

} // namespace almondmill
