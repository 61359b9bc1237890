#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace almondmill {

/// Remembers which shared prompt parts this router had saved to the store of kept KV cache, so that
/// each is saved once and again only when it may have been dropped.
class KeptPrompts
{
public:
    /// Whether the part named by `hash` should be saved now; then it counts as saved.
    bool shouldSave(std::uint64_t hash, SteadyTime now);

    std::size_t size() const { return m_savedAt.size(); }

private:
    void forgetOld(SteadyTime now);

    absl::flat_hash_map<std::uint64_t, SteadyTime> m_savedAt;
};

} // namespace almondmill
