#include "almondmill/forward/pacerecorder.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/observe/eventline.h"

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// A first event is late after this multiple of the mean of similar endpoints: prompts differ in
/// length, and endpoints in speed.
constexpr int LateFactor = 3;

/// Added to it: a round trip and the wait of a process without a processor.
constexpr milliseconds LateMargin{100};

/// Mean time to the first event of the service's other endpoints that are not paced; zero when
/// there are none.
std::chrono::microseconds usualLatency(const ForwardingContext &context, const EndpointView &view,
                                       SteadyTime bootNow)
{
    std::chrono::microseconds sum{0};
    int count = 0;
    for (const auto &other : context.endpoints.ofService(view.registration().service)) {
        const bool isLike = other->health().latency().count() > 0
                            && !other->availability().pace().isInForce(bootNow);
        if (!isLike || other.get() == &view)
            continue;
        sum += other->health().latency();
        ++count;
    }
    return count > 0 ? sum / count : std::chrono::microseconds(0);
}

bool isLate(const ForwardingContext &context, const EndpointView &view, const PaceAnswer &answer,
            SteadyTime bootNow)
{
    if (answer.fetchesParts)
        return false;
    const auto usual = usualLatency(context, view, bootNow);
    return usual.count() > 0 && answer.latency > LateFactor * usual + LateMargin;
}

void logPace(const EndpointView &view, const char *change, const char *why, SteadyTime bootNow)
{
    const EndpointPace &pace = view.availability().pace();
    EventLine("endpoint.pace")
            .add("endpoint", view.id())
            .add("started_at", view.registration().startedAt)
            .add("change", change)
            .add("why", why)
            .add("limit", pace.limitAt(bootNow))
            .add("cuts", pace.cuts());
}

/// Queues a change for the other routers, if they are to know it.
void announce(ForwardingContext &context, const EndpointView &view)
{
    if (view.availability().pace().unsent())
        context.paceChanges.add(view.incarnation());
}

void recordReduction(ForwardingContext &context, const EndpointView &view, const char *why,
                     bool wasInForce, SteadyTime bootNow)
{
    logPace(view, wasInForce ? "cut" : "begin", why, bootNow);
    if (wasInForce)
        context.requestMetrics.recordPaceCut();
    else
        context.requestMetrics.recordPace();
    announce(context, view);
}

} // namespace

void recordPaceAnswer(ForwardingContext &context, EndpointView &view, const PaceAnswer &answer,
                      SteadyTime bootNow)
{
    EndpointPace &pace = view.availability().pace();
    if (pace.isInForce(bootNow) && isLate(context, view, answer, bootNow)) {
        if (pace.recordLateAnswer(answer.sentAt, bootNow))
            recordReduction(context, view, "late_answer", true, bootNow);
        return;
    }
    pace.recordGoodAnswer(answer.sentAt, context.routerPlaces.placeFor(view.incarnation()),
                          bootNow);
    announce(context, view);
}

void recordPaceRejection(ForwardingContext &context, EndpointView &view, SteadyTime sentAt,
                         SteadyTime bootNow)
{
    EndpointPace &pace = view.availability().pace();
    const bool wasInForce = pace.isInForce(bootNow);
    if (pace.recordRejection(sentAt, bootNow))
        recordReduction(context, view, "rejected", wasInForce, bootNow);
}

void recordPaceFailure(ForwardingContext &context, EndpointView &view, SteadyTime sentAt,
                       SteadyTime bootNow)
{
    EndpointPace &pace = view.availability().pace();
    const bool wasInForce = pace.isInForce(bootNow);
    if (pace.recordFailure(sentAt, bootNow))
        recordReduction(context, view, "no_answer", wasInForce, bootNow);
}

void recordPaceEnd(ForwardingContext &context, EndpointView &view, SteadyTime bootNow)
{
    EndpointPace &pace = view.availability().pace();
    if (!pace.takeEnded(bootNow))
        return;
    context.requestMetrics.recordPaceEnd();
    logPace(view, "end", nameOf(pace.cause()), bootNow);
}

} // namespace almondmill
