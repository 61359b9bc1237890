#pragma once

#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/keyowners.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondmill {

class Counter;
class Metrics;
struct PartLookupReply;
struct PartLookupRequest;

/// Shares the locations of prompt parts in a large fleet through their owners: routers report each
/// placement to the part's two owners and ask one of them before they place a prompt. So the
/// messages of a router do not grow with the fleet, as those of a broadcast do. Must be used on the
/// event loop only.
class PartLookups
{
public:
    /// Sends a datagram to the router of that name.
    using Sender = std::function<void(const std::string &router, std::string_view bytes)>;

    PartLookups(boost::asio::io_context &loop, PartLocations &locations, Metrics &metrics);

    /// Begins to take part as router `self`. Before that, lookups and reports do nothing.
    void start(const std::string &self, Sender send);

    void addRouter(const std::string &name);

    /// Whether the fleet is so large that placements are kept by owners instead of broadcast.
    bool usesOwners() const { return m_routers > MaxBroadcastRouters; }

    /// Asks an owner of the part and records its answer in the locations. Completes after a bounded
    /// time also without an answer, and at once when this router is an owner.
    boost::asio::awaitable<void> lookUp(PartKey part);

    /// Reports a placement made by this router to the part's owners.
    void report(const PartPlacement &placement);

    /// Lookups that wait for an answer.
    std::size_t pending() const { return m_waiting.size(); }

    /// This router's answer to another router's lookup.
    PartLookupReply answer(const PartLookupRequest &request) const;

    /// Completes the lookup that the reply belongs to. A reply that comes too late is dropped.
    void handleReply(const PartLookupReply &reply, SteadyTime now);

private:
    /// Up to this number of routers, a broadcast costs less than 2 KB per second and router.
    static constexpr std::size_t MaxBroadcastRouters = 128;

    /// The owner to ask for the part; nothing when this router knows as much as an owner would.
    std::optional<std::string> ownerToAsk(PartKey part, SteadyTime now) const;

    /// Sends the question and waits for a bounded time. Returns whether the owner answered.
    boost::asio::awaitable<bool> askOwner(const std::string &owner, PartKey part);

    boost::asio::io_context &m_loop;
    PartLocations &m_locations;
    Counter &m_answered;
    Counter &m_unanswered;
    KeyOwners m_owners;
    std::string m_self;
    Sender m_send;
    std::size_t m_routers = 0;
    std::uint32_t m_lastId = 0;
    absl::flat_hash_map<std::uint32_t, boost::asio::steady_timer *> m_waiting; ///< By lookup id.
};

} // namespace almondmill
