#include "almondmill/directory/storeoutage.h"

#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Shortest time without an answer that counts as an interruption. One lost answer takes 1.1 s;
/// entries expire after three missed heartbeats, which takes longer than this.
constexpr milliseconds MinInterruption{1400};

} // namespace

bool StoreOutage::mayProbe(const StoreWatcher &watcher)
{
    if (!m_prober)
        m_prober = &watcher;
    return m_prober == &watcher;
}

void StoreOutage::recordAnswer(SteadyTime now)
{
    if (m_hasFailed && isInterruption(now))
        m_ended = Period{m_lastAnswer.value_or(now), now};
    m_prober = nullptr;
    recordPeerAnswer(now);
}

void StoreOutage::recordPeerAnswer(SteadyTime now)
{
    if (isInterruption(now))
        m_answeringSince = now;
    m_lastAnswer = now;
    m_hasFailed = false;
}

std::optional<StoreOutage::Period> StoreOutage::takeEnded()
{
    return std::exchange(m_ended, std::nullopt);
}

milliseconds StoreOutage::answeringFor(SteadyTime now) const
{
    if (!m_lastAnswer)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - m_answeringSince);
}

bool StoreOutage::isInterruption(SteadyTime now) const
{
    return !m_lastAnswer || now - *m_lastAnswer >= MinInterruption;
}

} // namespace almondmill
