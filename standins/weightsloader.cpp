#include "weightsloader.h"

#include <algorithm>

namespace almondmill::standin {

WeightsLoader::WeightsLoader(std::string weights, std::chrono::milliseconds loadTime,
                             bool checksFencing)
    : m_weights(std::move(weights))
    , m_loadTime(loadTime)
    , m_checksFencing(checksFencing)
{}

std::string WeightsLoader::weights(SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    finishLoading(now);
    return m_weights;
}

bool WeightsLoader::loading(SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    finishLoading(now);
    return !m_loadingWeights.empty();
}

std::uint64_t WeightsLoader::fencing()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_fencing;
}

bool WeightsLoader::order(const std::string &weights, std::uint64_t fencing, SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    finishLoading(now);
    if (m_checksFencing && fencing < m_fencing)
        return false;
    m_fencing = std::max(m_fencing, fencing);
    if (weights == m_weights && m_loadingWeights.empty())
        return true;
    m_loadingWeights = weights;
    m_readyAt = now + m_loadTime;
    return true;
}

void WeightsLoader::finishLoading(SteadyTime now)
{
    if (m_loadingWeights.empty() || now < m_readyAt)
        return;
    m_weights = m_loadingWeights;
    m_loadingWeights.clear();
}

} // namespace almondmill::standin
