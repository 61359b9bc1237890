#pragma once

#include "almondmill/admission/fairshares.h"
#include "almondmill/admission/serviceload.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondmill {

/// What the admission of a request depends on, besides the load.
struct AdmissionRequest
{
    std::size_t level = 0; ///< Of urgency.
    std::chrono::milliseconds target{0};
    std::uint64_t idHash = 0;
    AccountShare share = AccountShare::Even; ///< Of its account.
};

/// Decides whether a request is sent to the endpoints of a service or refused at once, because it
/// would wait too long for a slot. Each router decides alone, on reports that are some seconds old.
class AdmissionControl
{
public:
    /// Share of requests that are refused at that expected wait.
    static double refusedShare(std::chrono::milliseconds wait, std::chrono::milliseconds target);

    /// Time after which a refused request may come back; empty when it is admitted.
    static std::optional<std::chrono::milliseconds> refusal(const ServiceLoad &load,
                                                            const AdmissionRequest &request);
};

} // namespace almondmill
