#include "almondmill/forward/storeretention.h"

#include "almondmill/route/routedservice.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr double BytesPerMegabit = 125000;

/// Bounds of the result. A store may also lose its content in a restart, so longer times are not
/// relied on.
constexpr std::chrono::duration<double> MinRetention{8.0};
constexpr std::chrono::duration<double> MaxRetention{30.0};

} // namespace

std::chrono::milliseconds storeRetention(const KvCacheStore &store, const EngineTraits &engine)
{
    const double savedPerSecond = store.linkMegabitsPerSecond * BytesPerMegabit * SaveLinkRatio;
    const double memory =
            static_cast<double>(store.memoryTokens) * static_cast<double>(engine.bytesPerToken);
    std::chrono::duration<double> retention = MaxRetention;
    if (savedPerSecond > 0)
        retention = std::chrono::duration<double>(memory / savedPerSecond);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::clamp(retention, MinRetention, MaxRetention));
}

} // namespace almondmill
