#include "almondmill/peers/ownshare.h"

#include "almondmill/route/accountquota.h"

#include <algorithm>
#include <chrono>

namespace almondmill {

namespace {

/// What is saved at the first request and at most, in seconds of this router's part.
constexpr double StartSeconds = 0.5;
constexpr double LongestSeconds = 4;

} // namespace

bool OwnShare::take(double amount, const AccountQuota &quota, double part, double random,
                    SteadyTime now)
{
    const double perSecond = quota.perSecond * part;
    if (!m_savedAt)
        m_saved = perSecond * StartSeconds;
    else
        m_saved += perSecond * std::chrono::duration<double>(now - *m_savedAt).count();
    m_savedAt = now;
    m_saved = std::min(m_saved, perSecond * LongestSeconds);
    const bool isAdmitted = m_saved >= amount || random * amount < m_saved;
    m_saved = std::max(m_saved - amount, 0.0);
    return isAdmitted;
}

} // namespace almondmill
