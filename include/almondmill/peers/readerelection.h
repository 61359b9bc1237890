#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace almondmill {

/// Decides whether this router is an active reader of the platform's store. Routers are ranked by
/// the hash of their names. The two live routers of the lowest rank read the store and broadcast
/// what they read. A router becomes a reader when it receives updates from fewer than two routers
/// of lower rank, so no election protocol is needed.
class ReaderElection
{
public:
    /// `drainDeadline` is the time within which a router must learn that an endpoint is leaving.
    ReaderElection(const std::string &self, std::chrono::milliseconds drainDeadline);

    /// Records that an update was received which `origin` read from the store.
    void recordUpdate(const std::string &origin, SteadyTime now);

    /// Whether fewer than two routers of lower rank have sent an update within the timeout.
    bool isReader(SteadyTime now) const;

    /// Whether no router of lower rank has sent an update within the timeout.
    bool isFirstReader(SteadyTime now) const { return recentReaders(now) == 0; }

    /// Whether this router, after its start, still waits for updates of other readers before it
    /// becomes one itself. Routers of lower rank wait for a shorter time.
    bool inStartupGrace(SteadyTime startedAt, SteadyTime now) const;

private:
    /// Routers of lower rank that have sent an update within the timeout.
    std::ptrdiff_t recentReaders(SteadyTime now) const;

    std::uint64_t m_rank;
    std::chrono::milliseconds m_timeout;
    absl::flat_hash_map<std::uint64_t, SteadyTime> m_lastUpdates; ///< By rank, only lower ranks.
};

} // namespace almondmill
