#pragma once

#include "almondmill/admission/serviceload.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

struct ClockTimes;
struct ForwardingContext;
struct RoutedRequest;

/// Decides from the load of all routers whether a request is sent or refused at once.
class RequestAdmission
{
public:
    explicit RequestAdmission(ForwardingContext &context);

    /// Time after which the request may come back, if it is refused. Called once for each request,
    /// before its first attempt.
    std::optional<std::chrono::milliseconds> refusal(const RoutedRequest &placed,
                                                     const ClockTimes &now);

    /// Time until a request gets a slot at one of the endpoints of its service. Zero while slots
    /// are free, and until the residence of requests has been learnt.
    std::chrono::milliseconds expectedWait(const RoutedRequest &placed,
                                           const ClockTimes &now) const;

    /// The longest expected wait at a service, for the least urgent requests.
    std::chrono::milliseconds longestWait(const std::string &service, const ClockTimes &now) const;

private:
    ServiceLoad loadOf(const std::string &service, const ClockTimes &now) const;
    double usableSlots(const std::string &service, const ClockTimes &now) const;

    ForwardingContext &m_context;
};

} // namespace almondmill
