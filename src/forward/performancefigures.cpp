#include "almondmill/forward/performancefigures.h"

#include "almondmill/route/routedservice.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Share of a link's rate at which cached tokens arrive, less the overhead of the call.
constexpr double LinkEfficiency = 0.7;

/// Bits that a link of one Mbit/s carries in a millisecond.
constexpr double BitsPerMegabitMs = 1000;
constexpr double BitsPerByte = 8;

} // namespace

PerformanceFigures initialFigures(const RoutedService *service, std::uint32_t slots)
{
    PerformanceFigures figures;
    figures.residence = PerformanceFigures::InitialSlotWait * std::max(slots, 1U);
    if (!service || !service->engine)
        return figures;
    const EngineTraits &engine = *service->engine;
    if (engine.linkMegabitsPerSecond > 0 && engine.bytesPerToken > 0)
        figures.fetchedTokensPerMs = LinkEfficiency * engine.linkMegabitsPerSecond
                                     * BitsPerMegabitMs
                                     / (BitsPerByte * static_cast<double>(engine.bytesPerToken));
    return figures;
}

} // namespace almondmill
