#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>

namespace almondmill {

/// Whether this router reads the platform's store itself. Two routers do, and the others hear of
/// it; whoever hears too little reads, so that no election is needed.
class ReaderTurn
{
public:
    /// `drainDeadline` is the time in which a router must know that an endpoint leaves.
    ReaderTurn(const std::string &self, std::chrono::milliseconds drainDeadline);

    /// News came that `origin` read from the store.
    void heard(const std::string &origin, SteadyTime now);

    /// Whether too few routers that come before this one have been heard of lately.
    bool isReader(SteadyTime now) const;

    /// Whether this router may still hear of others before it starts to read for them.
    bool mayStayQuiet(SteadyTime startedAt, SteadyTime now) const;

private:
    std::uint64_t m_rank;
    std::chrono::milliseconds m_patience;
    absl::flat_hash_map<std::uint64_t, SteadyTime> m_heard; ///< By rank, of those before this one.
};

} // namespace almondmill
