#include "almondmill/peers/readerturn.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Readers at a time, so that the loss of one leaves no gap.
constexpr std::ptrdiff_t Readers = 2;

/// News of a reader come about every half second, and one may be lost. Where an endpoint may leave
/// in less than twice this time, half of that time counts; the rest is for a call of this router's
/// own.
constexpr milliseconds LongestPatience{1100};

/// The first in order notice first, so that their news keep the rest from reading.
constexpr std::uint64_t PatienceSpreadMs = 400;

/// Time after the start in which the first in order become readers.
constexpr std::uint64_t StartSpreadMs = 2500;

} // namespace

ReaderTurn::ReaderTurn(const std::string &self, milliseconds drainDeadline)
    : m_rank(hash64(self))
    , m_patience(std::min(LongestPatience, drainDeadline / 2)
                 + milliseconds((m_rank >> 32U) * PatienceSpreadMs >> 32U))
{}

void ReaderTurn::heard(const std::string &origin, SteadyTime now)
{
    const std::uint64_t rank = hash64(origin);
    if (rank < m_rank)
        m_heard[rank] = now;
}

bool ReaderTurn::isReader(SteadyTime now) const
{
    const auto recent = std::count_if(m_heard.begin(), m_heard.end(), [&](const auto &entry) {
        return now - entry.second < m_patience;
    });
    return recent < Readers;
}

bool ReaderTurn::mayStayQuiet(SteadyTime startedAt, SteadyTime now) const
{
    return now < startedAt + milliseconds((m_rank >> 32U) * StartSpreadMs >> 32U);
}

} // namespace almondmill
