#include "almondmill/peers/partlookups.h"

#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/partlookupmessages.h"
#include "almondmill/peers/placementbroadcastqueue.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Longest wait for an owner's answer: several round trips between data centres, and little against
/// the time that computing a part again takes.
constexpr std::chrono::milliseconds LookupTimeout{40};

} // namespace

PartLookups::PartLookups(asio::io_context &loop, PartLocations &locations, Metrics &metrics)
    : m_loop(loop)
    , m_locations(locations)
    , m_answered(metrics.counter("almondmill_part_lookups_total", "result=\"answered\""))
    , m_unanswered(metrics.counter("almondmill_part_lookups_total", "result=\"unanswered\""))
{}

void PartLookups::start(const std::string &self, Sender send)
{
    m_self = self;
    m_send = std::move(send);
    addRouter(self);
}

void PartLookups::addRouter(const std::string &name)
{
    m_owners.addRouter(name);
    ++m_routers;
}

asio::awaitable<void> PartLookups::lookUp(PartKey part)
{
    const auto owner = ownerToAsk(part, std::chrono::steady_clock::now());
    if (!owner)
        co_return;
    const bool isAnswered = co_await askOwner(*owner, part);
    if (isAnswered) {
        m_answered.add();
        co_return;
    }
    m_unanswered.add();
    EventLine("part.lookup_unanswered").add("part", part).add("owner", *owner);
    m_owners.recordUnanswered(*owner, std::chrono::steady_clock::now());
}

std::optional<std::string> PartLookups::ownerToAsk(PartKey part, SteadyTime now) const
{
    const auto owners = m_owners.ownersOf(part);
    const bool isOwner = std::find(owners.begin(), owners.end(), m_self) != owners.end();
    if (!m_send || isOwner)
        return std::nullopt;
    return m_owners.ownerToAsk(part, now);
}

asio::awaitable<bool> PartLookups::askOwner(const std::string &owner, PartKey part)
{
    const std::uint32_t id = ++m_lastId;
    asio::steady_timer timer(m_loop, LookupTimeout);
    // Before the entry is made, which an exception would leave behind. The reply comes through the
    // event loop, so that it finds the entry.
    m_send(owner, encodePartLookup(PartLookupRequest{id, part}));
    m_waiting[id] = &timer;
    boost::system::error_code ignored; // A reply ends the wait by cancelling the timer.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    // A reply has removed the entry; one that arrives later finds none.
    co_return m_waiting.erase(id) == 0;
}

void PartLookups::report(const PartPlacement &placement)
{
    if (!m_send)
        return;
    const std::string bytes = encodePlacements({{placement, 0}});
    for (const std::string &owner : m_owners.ownersOf(placement.part)) {
        if (!owner.empty() && owner != m_self)
            m_send(owner, bytes);
    }
}

PartLookupReply PartLookups::answer(const PartLookupRequest &request) const
{
    PartLookupReply reply{request.id, request.part, {}};
    if (const auto *location = m_locations.find(request.part))
        reply.location = *location;
    return reply;
}

void PartLookups::handleReply(const PartLookupReply &reply, SteadyTime now)
{
    const auto waiting = m_waiting.find(reply.id);
    if (waiting == m_waiting.end())
        return;
    if (reply.location)
        m_locations.recordReported(reply.part, *reply.location, now);
    waiting->second->cancel();
    m_waiting.erase(waiting);
}

} // namespace almondmill
