#include "almondmill/peers/pacegossip.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/peers/pacemessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Changes within this time are sent together.
constexpr milliseconds MinPublishDelay{20};

/// Delay for each place in the order: a broadcast reaches most routers within it.
constexpr milliseconds DelayPerPlace{15};

constexpr milliseconds MaxPublishDelay{250};

/// Entries of up to 16 bytes each in one broadcast.
constexpr std::size_t EntriesPerMessage = 12;

/// Each broadcast passes every router, which sends it once on average. All routers together
/// therefore keep within these bytes each: a change that finds none left is sent later, as it is
/// then.
constexpr double BytesPerSecond = 200;
constexpr double BurstBytes = 400;

} // namespace

PaceGossip::PaceGossip(ForwardingContext &context, std::uint64_t incarnation, Forwarder forward)
    : m_context(context)
    , m_incarnation(incarnation)
    , m_forward(std::move(forward))
    , m_broadcasts(context.metrics.counter("almondmill_pace_broadcasts_total"))
    , m_budget(BytesPerSecond, BurstBytes)
{}

void PaceGossip::start()
{
    m_context.paceChanges.onAdded(
            [this] { asio::co_spawn(m_context.loop, publishAfterDelay(), asio::detached); });
}

milliseconds PaceGossip::publishDelay() const
{
    const auto first = m_context.paceChanges.first();
    const std::uint32_t index = first ? m_context.routerPlaces.placeFor(*first).index : 0;
    return std::min<milliseconds>(MinPublishDelay + index * DelayPerPlace, MaxPublishDelay);
}

asio::awaitable<void> PaceGossip::publishAfterDelay()
{
    while (!m_context.paceChanges.isEmpty()) {
        co_await sleepFor(m_context.loop, publishDelay());
        const SteadyTime now = bootTime();
        if (m_budget.isAvailable(now))
            publish(now);
    }
}

void PaceGossip::publish(SteadyTime bootNow)
{
    PaceMessage message{m_context.settings.name, m_incarnation, ++m_sequence, {}};
    for (const std::uint64_t incarnation : m_context.paceChanges.take(EntriesPerMessage)) {
        const auto view = m_context.endpoints.findByIncarnation(incarnation);
        const auto report = view ? view->availability().pace().unsent() : std::nullopt;
        if (!report)
            continue;
        message.entries.push_back({incarnation, *report});
        view->availability().pace().markSent();
    }
    if (message.entries.empty())
        return;
    const std::string bytes = encodePaces(message);
    m_budget.spend(bytes.size(), bootNow);
    m_broadcasts.add();
    m_forward(message.origin, bytes);
}

void PaceGossip::handle(const PaceMessage &message, std::string_view bytes, SteadyTime bootNow)
{
    if (message.origin == m_context.settings.name
        || !m_lastBroadcasts.record(message.origin, message.incarnation, message.sequence))
        return;
    m_budget.spend(bytes.size(), bootNow);
    m_forward(message.origin, bytes);
    for (const PaceMessage::Entry &entry : message.entries) {
        const auto view = m_context.endpoints.findByIncarnation(entry.endpoint);
        if (view)
            view->availability().pace().merge(entry.report, bootNow);
    }
}

} // namespace almondmill
