#include "almondmill/peers/readerelection.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Routers that read at the same time, so that updates continue when one of them fails.
constexpr std::ptrdiff_t ReaderCount = 2;

/// Longest time without an update after which a reader counts as failed. A reader sends an update
/// about every 500 ms, and one of them may be lost. When the drain deadline is shorter than twice
/// this time, half of the deadline applies, which leaves the other half for this router's own call
/// to the store.
constexpr milliseconds MaxUpdateTimeout{1100};

/// The timeout grows with the rank by up to this time, so that the lowest ranks take over first
/// and their updates keep the other routers from reading.
constexpr std::uint64_t TimeoutSpreadMs = 400;

using Milliseconds = std::chrono::duration<double, std::milli>;

/// After their start, routers become readers in the order of their ranks. Those of the lowest
/// ranks, this part of a fleet, are spread over a time in which they find their peers and send the
/// first updates.
constexpr double LowestRanks = 0.25;
constexpr Milliseconds LowestRanksSpread{2000};

/// The others follow within this time, so that a fleet of a few routers has a reader soon.
constexpr Milliseconds OtherRanksSpread{500};

constexpr int RankBits = 64;

} // namespace

ReaderElection::ReaderElection(const std::string &self, milliseconds drainDeadline)
    : m_rank(hash64(self))
    , m_timeout(std::min(MaxUpdateTimeout, drainDeadline / 2)
                + milliseconds((m_rank >> 32U) * TimeoutSpreadMs >> 32U))
{}

void ReaderElection::recordUpdate(const std::string &origin, SteadyTime now)
{
    const std::uint64_t rank = hash64(origin);
    if (rank < m_rank)
        m_lastUpdates[rank] = now;
}

bool ReaderElection::isReader(SteadyTime now) const
{
    return recentReaders(now) < ReaderCount;
}

std::ptrdiff_t ReaderElection::recentReaders(SteadyTime now) const
{
    return std::count_if(m_lastUpdates.begin(), m_lastUpdates.end(),
                         [&](const auto &entry) { return now - entry.second < m_timeout; });
}

bool ReaderElection::inStartupGrace(SteadyTime startedAt, SteadyTime now) const
{
    const double rank = std::ldexp(static_cast<double>(m_rank), -RankBits);
    // The square root lets the lowest ranks of a large fleet begin almost at once.
    const auto grace = rank < LowestRanks ? LowestRanksSpread * std::sqrt(rank / LowestRanks)
                                          : LowestRanksSpread
                                                    + OtherRanksSpread * (rank - LowestRanks)
                                                              / (1 - LowestRanks);
    return now < startedAt + std::chrono::duration_cast<SteadyTime::duration>(grace);
}

} // namespace almondmill
