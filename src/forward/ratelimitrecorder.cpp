#include "almondmill/forward/ratelimitrecorder.h"

#include "almondmill/forward/answermetadata.h"
#include "almondmill/forward/availabilityrecorder.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/observe/eventline.h"

namespace almondmill {

namespace {

/// The statement that an answer makes with a field; nothing when it makes none.
struct StatementOf
{
    using Result = std::optional<RateLimitStatement>;

    const AnswerMetadata &metadata;
    const AnswerTimes &times;

    Result operator()(const NoRateLimit &) const
    {
        if (!metadata.isSigned)
            return std::nullopt;
        return RateLimitStatement{std::nullopt, times.askedAt, times.heardAt};
    }

    Result operator()(const UnreadableRateLimit &) const { return std::nullopt; }

    Result operator()(const RequestsPerSecond &limit) const
    {
        return RateLimitStatement{limit.value, times.askedAt, times.heardAt};
    }
};

void logChange(const EndpointView &view, RateLimitChange change,
               const RateLimitStatement &statement)
{
    if (change == RateLimitChange::None)
        return;
    EventLine line("endpoint.rate_limit");
    line.add("endpoint", view.id())
            .add("started_at", view.registration().startedAt)
            .add("change", nameOf(change));
    if (statement.perSecond)
        line.add("per_second", *statement.perSecond);
}

} // namespace

void recordRateLimit(ForwardingContext &context, const EndpointView &view,
                     const AnswerMetadata &metadata, const AnswerTimes &times)
{
    if (!isStatementOf(view, metadata) || metadata.isMisdirected)
        return;
    const auto statement = std::visit(StatementOf{metadata, times}, metadata.rateLimit);
    if (!statement)
        return;
    const RateLimitChange change = context.rateLimits.record({view.incarnation(), *statement},
                                                             RateLimits::Source::OwnAnswer);
    logChange(view, change, *statement);
    if (change == RateLimitChange::Began)
        context.requestMetrics.recordRateLimit();
}

} // namespace almondmill
