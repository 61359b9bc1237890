#pragma once

#include <chrono>
#include <cstdint>

namespace almondmill {

struct RoutedService;

/// Speed of an endpoint, or of the endpoints of a service on average.
struct PerformanceFigures
{
    using Milliseconds = std::chrono::duration<double, std::milli>;

    /// Figures that are assumed before there are samples: the prefill rate of the engines' data
    /// sheet, and links of 280 Gbit/s at 164 KB per token, less the overhead of a fetch.
    static constexpr double InitialPrefillTokensPerMs = 38.4;
    static constexpr double InitialFetchedTokensPerMs = 150;
    /// Wait for each request beyond the slots until a running one ends.
    static constexpr Milliseconds InitialSlotWait{20};

    double prefillTokensPerMs = InitialPrefillTokensPerMs;
    double fetchedTokensPerMs = InitialFetchedTokensPerMs;
    Milliseconds residence{InitialSlotWait}; ///< Time for which a request holds a slot.
};

/// Figures of a service without samples, with those that follow from its configuration. `service`
/// is null when it isn't configured; `slots` is the number of slots of one endpoint.
PerformanceFigures initialFigures(const RoutedService *service, std::uint32_t slots);

} // namespace almondmill
