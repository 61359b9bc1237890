#include "almondmill/admission/admissioncontrol.h"

#include <algorithm>

namespace almondmill {

using std::chrono::milliseconds;

namespace {

/// Multiples of the target latency between which the refused share rises from zero to one. With a
/// threshold instead, all routers would refuse everything at the same time.
constexpr double FirstRefusalRatio = 0.5;
constexpr double FullRefusalRatio = 1.5;

/// Factors of the wait while an account uses more than its fair share: its requests are refused
/// before those of the others.
constexpr double ExceedingFactor = 2;
constexpr double WithinFactor = 0.5;

/// Shortest time after which a refused caller may come back.
constexpr milliseconds MinReturnTime{300};

double factorOf(AccountShare share)
{
    switch (share) {
    case AccountShare::Exceeding:
        return ExceedingFactor;
    case AccountShare::Within:
        return WithinFactor;
    case AccountShare::Even:
        break;
    }
    return 1;
}

/// The hash's position among all hashes, from 0 to 1.
double positionOf(std::uint64_t hash)
{
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(hash) / Range;
}

} // namespace

double AdmissionControl::refusedShare(milliseconds wait, milliseconds target)
{
    const double ratio = static_cast<double>(wait.count())
                         / static_cast<double>(std::max(target, milliseconds(1)).count());
    return std::clamp((ratio - FirstRefusalRatio) / (FullRefusalRatio - FirstRefusalRatio), 0.0,
                      1.0);
}

std::optional<milliseconds> AdmissionControl::refusal(const ServiceLoad &load,
                                                      const AdmissionRequest &request)
{
    const milliseconds wait = load.expectedWait(request.level);
    const auto counted = std::chrono::duration_cast<milliseconds>(factorOf(request.share) * wait);
    const double position = positionOf(request.idHash);
    const double share = refusedShare(counted, request.target);
    if (wait.count() == 0 || position >= share)
        return std::nullopt;
    const milliseconds earliest = std::max(wait, MinReturnTime);
    // The refused requests have the positions below their share.
    const double spread = position / share;
    return earliest
           + std::chrono::duration_cast<milliseconds>(
                   std::chrono::duration<double, std::milli>(earliest) * spread);
}

} // namespace almondmill
