#pragma once

#include "almondmill/forward/endpointpace.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace almondmill {

/// The endpoint takes requests without a bound.
struct Available
{};

/// The endpoint has started or a pause has ended; it takes requests up to a bound that grows.
struct Resuming
{
    std::uint32_t maxOpenRequests = 0; ///< From this router.
    SteadyTime nextStepAt;             ///< When the bound grows or ends.
};

/// The endpoint has asked for a pause.
struct Paused
{
    SteadyTime until;
};

/// The endpoint has announced that it shuts down.
struct Leaving
{
    SteadyTime since;
};

using Availability = std::variant<Available, Resuming, Paused, Leaving>;

/// Name of the state for operators, such as "paused".
const char *nameOf(const Availability &availability);

/// What one incarnation of an endpoint has stated about itself in its answers: that it leaves, or
/// that it wants no requests for some time. All times are of the boot clock, which continues while
/// the VM is suspended.
class EndpointAvailability
{
public:
    /// Time over which the bound on open requests grows after a pause.
    static constexpr std::chrono::milliseconds ResumeTime =
            EndpointPace::PauseStep * EndpointPace::Doublings;

    /// Longer pauses are taken as this one.
    static constexpr std::chrono::hours MaxPause{1};

    /// `slots` is the number of requests that the endpoint runs concurrently.
    explicit EndpointAvailability(std::uint32_t slots = 1)
        : m_pace(slots)
    {}

    /// Records that the endpoint leaves; returns false when that was known. It can't be undone.
    bool recordLeaving(SteadyTime now);

    /// Records that the endpoint asked for a pause of `length`. A pause that ends before the
    /// present one does not shorten it; one without length has no effect. Returns whether a pause
    /// began.
    bool recordPause(std::chrono::milliseconds length, SteadyTime now);

    /// Records how many requests are open. The first count after the pace began is that of requests
    /// from before, which the bound on open requests then doesn't include.
    void recordOpenRequests(std::uint32_t openRequests, SteadyTime now);

    /// The state at `now`; an endpoint that leaves is `Paused` while a pause runs. `paceBound` is
    /// this router's share of the limit of the pace, which is the whole limit for a single router.
    Availability stateAt(SteadyTime now,
                         std::optional<std::uint32_t> paceBound = std::nullopt) const;

    EndpointPace &pace() { return m_pace; }
    const EndpointPace &pace() const { return m_pace; }

    bool isLeaving() const { return m_leavingSince.has_value(); }

    /// Whether the endpoint may have exited: it announced its shutdown `drainDeadline` ago or
    /// earlier.
    bool isPastDrainDeadline(std::chrono::milliseconds drainDeadline, SteadyTime now) const;

    /// Counts a choice or an attempt that left out the endpoint.
    void recordWithheld() { ++m_withheld; }

    /// Requests withheld in this incarnation.
    std::uint64_t withheld() const { return m_withheld; }

    /// The number of requests withheld since the last pause began, once after the pause has ended.
    std::optional<std::uint64_t> takeEndedPause(SteadyTime now);

private:
    std::optional<SteadyTime> m_leavingSince;
    std::optional<SteadyTime> m_pausedUntil;
    bool m_isPauseReported = true;
    EndpointPace m_pace;
    std::optional<std::uint32_t> m_openAtResume;
    std::uint64_t m_withheld = 0;
    std::uint64_t m_withheldBeforePause = 0;
};

} // namespace almondmill
