#pragma once

#include "almondmill/placement/candidate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace almondmill {

/// Assumed time to prefill one block that an engine has not cached.
constexpr std::chrono::microseconds BlockPrefillTime{80000};

/// The load bound is this factor times the mean queue, plus the prefill of the blocks that are
/// recomputed when a request moves to another endpoint.
constexpr double LoadBoundFactor = 1.25;

/// The longest queue to which rendezvous hashing with bounded loads still adds work. Cost: linear.
std::chrono::microseconds loadBound(std::span<const Candidate> candidates, std::size_t blocks);

/// Index of the candidate that weighted rendezvous hashing selects for `key` among those with a
/// queue of at most `bound`; empty when there is none. Does not depend on the candidates' order.
/// Cost: linear; allocates no memory.
std::optional<std::size_t> rendezvousWithin(std::uint64_t key,
                                            std::span<const Candidate> candidates,
                                            std::chrono::microseconds bound);

} // namespace almondmill
