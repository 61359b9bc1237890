#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <cstddef>
#include <string>
#include <vector>

namespace almondmill {

/// Most bytes of one part.
constexpr std::size_t MostPartBytes = 64U << 10U;

/// The entries of inventory and rules, spread over parts by the hash of kind and name: a change of
/// one entry changes one part. Each part is canonical JSON: equal entries give equal bytes. The
/// number of parts is a power of two that grows with the entries; `previousCount` (zero: none) is
/// kept while it still fits, so that a size near a bound does not rewrite all parts back and forth.
/// Throws Error "config.304" when an entry is too large. Cost: linear in the entries.
std::vector<std::string> partition(const Inventory &inventory, const Rules &rules,
                                   std::size_t previousCount);

/// Inventory and rules back from all parts, each list in the order of names; without what the root
/// holds itself. Throws Error "config.301" when a part is not such JSON.
void assemble(const std::vector<std::string> &parts, Inventory &inventory, Rules &rules);

} // namespace almondmill
