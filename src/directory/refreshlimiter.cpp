#include "almondmill/directory/refreshlimiter.h"

#include <algorithm>

namespace almondmill {

using std::chrono::milliseconds;

RefreshLimiter::RefreshLimiter(milliseconds interval)
    : m_interval(interval)
{}

std::optional<milliseconds> RefreshLimiter::reported(SteadyTime now)
{
    if (m_hasRead && now < m_nextRead)
        return std::nullopt;
    m_nextRead = m_hasRead ? std::max(now, m_nextRead + m_interval) : now;
    m_hasRead = true;
    return std::chrono::ceil<milliseconds>(m_nextRead - now);
}

} // namespace almondmill
