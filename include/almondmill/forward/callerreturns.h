#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <string>

namespace almondmill {

/// When callers that were refused for the endpoints' rate limits may come back: one after the
/// other, at the rate at which the endpoints take requests.
class CallerReturns
{
public:
    /// Callers are told to come back within this time, however many there are.
    static constexpr std::chrono::milliseconds LongestReturn{10000};

    /// Time from `now` until the next refused caller of the service may come back, at least
    /// `earliest`. The service takes `perSecond` requests of this router.
    std::chrono::milliseconds next(const std::string &service, double perSecond,
                                   std::chrono::milliseconds earliest, SteadyTime now);

private:
    absl::flat_hash_map<std::string, SteadyTime> m_last; ///< By service.
};

} // namespace almondmill
