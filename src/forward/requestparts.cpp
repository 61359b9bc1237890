// Implementation of ForwardedRequest: circuit breakers of prompt parts.

#include "forwardedrequest.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/http/timedsocket.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/error.hpp>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// A process that runs accepts a connection within a few round trips.
constexpr milliseconds ProbeTimeout{250};

/// Idle time for which the connection of a probe may be reused; shorter than common server
/// defaults.
constexpr milliseconds ProbeReuse{2000};

/// An engine that has gone on with an answer for this long was not ended by its start: several
/// steps of a busy engine.
constexpr milliseconds SettlingTime{150};

} // namespace

bool ForwardedRequest::findsOpenPart(std::optional<PartBreakers::OpenPart> open)
{
    if (!open)
        return false;
    m_openPart = open;
    m_lastReason = "part_open";
    m_context.metrics.counter("almondmill_part_refusals_total").add();
    EventLine("part.refused")
            .add("id", m_request.id)
            .add("part", open->part)
            .add("crashes", std::uint64_t(open->crashes))
            .add("retry_after", open->retryAfter)
            .add("sends", m_sendCount);
    return true;
}

void ForwardedRequest::recordEvents(SteadyTime now)
{
    if (!m_answerStartedAt)
        m_answerStartedAt = now;
    // Waiting for the end would leave the parts of long answers suspected for long.
    if (isAnswerSettled() && !m_isAnswerRecorded) {
        m_isAnswerRecorded = true;
        m_context.partBreakers.recordAnswer(m_parts, *m_answerStartedAt);
    }
}

bool ForwardedRequest::isAnswerSettled() const
{
    return m_answerStartedAt && m_lastEventsAt - *m_answerStartedAt >= SettlingTime;
}

ForwardedRequest::Awaitable<void> ForwardedRequest::examineBreak(SendPlanner::View view)
{
    if (!m_hasBroken || m_parts.empty())
        co_return;
    const SteadyTime brokeAt = steadyNow();
    const std::uint64_t engine = incarnationHash(view->registration());
    bool hasEnded = m_context.partBreakers.hasCrashed(engine);
    if (!hasEnded && !isAnswerSettled())
        hasEnded = co_await refusesConnections(*view);
    EventLine("request.broken")
            .add("id", m_request.id)
            .add("endpoint", view->id())
            .add("engine_ended", hasEnded)
            .add("answer_started", m_answerStartedAt.has_value())
            .add("answer_settled", isAnswerSettled())
            .add("suspected", std::uint64_t(m_context.partBreakers.crashesOf(m_parts)));
    if (hasEnded && !isAnswerSettled())
        m_context.partBreakers.recordCrash(engine, m_parts, brokeAt);
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::refusesConnections(EndpointView &view)
{
    const auto socket =
            std::make_shared<TimedSocket>(TimedSocket::Socket(m_context.loop.get_executor()));
    const SteadyTime startedAt = steadyNow();
    socket->setDeadline(startedAt + ProbeTimeout);
    const auto error = co_await socket->connect(view.address());
    if (error || !view.takesRequests()) {
        socket->abort();
        co_return error == boost::asio::error::connection_refused;
    }
    view.connections().put(socket, steadyNow(), ProbeReuse);
    co_return false;
}

} // namespace almondmill
