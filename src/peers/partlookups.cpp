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
    const auto owners = m_owners.ownersOf(part);
    const bool isOwner = std::find(owners.begin(), owners.end(), m_self) != owners.end();
    const auto asked = m_owners.ownerToAsk(part, std::chrono::steady_clock::now());
    if (!m_send || isOwner || !asked)
        co_return;
    const std::uint32_t id = ++m_lastId;
    asio::steady_timer timer(m_loop, LookupTimeout);
    m_waiting[id] = &timer;
    m_send(*asked, encodePartLookup(PartLookupRequest{id, part}));
    boost::system::error_code ignored; // A reply ends the wait by cancelling the timer.
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const bool isUnanswered = m_waiting.erase(id) != 0;
    if (!isUnanswered) {
        m_answered.add();
        co_return;
    }
    m_unanswered.add();
    EventLine("part.lookup_unanswered").add("part", part).add("owner", *asked);
    m_owners.recordUnanswered(*asked, std::chrono::steady_clock::now());
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
