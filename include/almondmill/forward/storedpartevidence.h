#pragma once

#include "almondmill/forward/partevidence.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// The present time on the router's steady clock and on the wall clock, by which processes that do
/// not run at the same time can compare times.
struct EvidenceTime
{
    SteadyTime steady;
    WallTime wall;

    /// Reads both clocks.
    static EvidenceTime now();
};

/// Serializes evidence against prompt parts to JSON for the platform's store.
std::string encodeStoredEvidence(const std::vector<PartEvidence> &evidence,
                                 const EvidenceTime &now);

/// Parses stored evidence; returns nothing when `text` is no valid one. Crashes in the future, by
/// the clock of another VM, count as happening now.
std::optional<std::vector<PartEvidence>> decodeStoredEvidence(std::string_view text,
                                                              const EvidenceTime &now);

/// A number that tells different evidence apart, whatever the order and the times of the crashes.
/// Zero for no evidence.
std::uint64_t digestOf(const std::vector<PartEvidence> &evidence);

} // namespace almondmill
