#pragma once

#include "almondmill/forward/statedratelimit.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace almondmill {

/// What a router knows of the rate limit of one incarnation of an endpoint, as routers exchange it.
struct RateLimitReport
{
    std::uint64_t endpoint = 0; ///< See incarnationHash.
    RateLimitStatement statement;
};

/// The rate limits of endpoints, stated in answers to this router or reported by its peers, by
/// incarnation. They outlive registrations and configurations. All times are of the boot clock.
/// Must be used on the event loop only.
class RateLimits
{
public:
    /// Incarnations that are kept; the one that was heard of least recently is dropped first.
    static constexpr std::size_t MaxEndpoints = 4096;

    enum class Source { OwnAnswer, Peer };

    /// `callback` is called when a change is to be broadcast.
    void onUnsent(std::function<void()> callback) { m_onUnsent = std::move(callback); }

    /// Records a statement. One from an answer to this router that changes the limit noticeably is
    /// to be broadcast.
    RateLimitChange record(const RateLimitReport &report, Source source);

    /// Requests per second that the endpoint takes from all routers; empty without a limit.
    std::optional<double> perSecond(std::uint64_t endpoint) const;

    /// What is known of the endpoint; empty while it has never stated a limit.
    std::optional<RateLimitReport> find(std::uint64_t endpoint) const;

    /// Endpoints with a limit.
    std::size_t limitedCount() const;

    /// The endpoint gets no request of this router until then, for want of a permit.
    void withhold(std::uint64_t endpoint, SteadyTime until);

    /// When this router may ask for a permit again; empty when it may do so at `now`.
    std::optional<SteadyTime> withheldUntil(std::uint64_t endpoint, SteadyTime now) const;

    bool hasUnsent() const { return !m_unsent.empty(); }

    /// Takes up to `max` reports that are to be broadcast.
    std::vector<RateLimitReport> takeUnsent(std::size_t max);

    /// Up to `max` limits in force, each in its turn, to be repeated to peers.
    std::vector<RateLimitReport> takeRepeats(std::size_t max);

private:
    struct Entry
    {
        StatedRateLimit limit;
        SteadyTime withheldUntil;
        std::optional<double> broadcastRate; ///< As last broadcast.
        bool isUnsent = false;
    };

    void dropOldest();
    void scheduleBroadcast(std::uint64_t endpoint, Entry &entry);

    absl::flat_hash_map<std::uint64_t, Entry> m_entries;
    std::deque<std::uint64_t> m_unsent;
    std::function<void()> m_onUnsent; ///< Empty in a router without peers.
    std::size_t m_repeated = 0;       ///< Position of the next repeat among the limits in force.
};

} // namespace almondmill
