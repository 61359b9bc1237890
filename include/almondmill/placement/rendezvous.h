#pragma once

#include "almondmill/placement/candidate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace almondmill {

/// Time to prefill one block that an engine has not cached, where nothing better is known.
constexpr std::chrono::microseconds BlockPrefillTime{80000};

/// Queues up to this factor of the mean, plus the prefill of the blocks that a move recomputes, are
/// within the load bound.
constexpr double LoadBoundFactor = 1.25;

/// The longest queue that bounded rendezvous still adds to. Cost: linear.
std::chrono::microseconds loadBound(std::span<const Candidate> candidates, std::size_t blocks);

/// Index of the candidate with the highest weighted random weight for `key` among those with a
/// queue of at most `bound`; nothing when there is none. Independent of the candidates' order.
/// Cost: linear, no memory.
std::optional<std::size_t> rendezvousWithin(std::uint64_t key,
                                            std::span<const Candidate> candidates,
                                            std::chrono::microseconds bound);

} // namespace almondmill
