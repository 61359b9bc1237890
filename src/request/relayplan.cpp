#include "almondmill/request/relayplan.h"

#include "almondmill/request/streamprogress.h"

namespace almondmill {

namespace {
constexpr std::chrono::milliseconds ResumeBackOff{100};
}

RelayPlan::RelayPlan(bool deterministic, SteadyTime requestDeadline)
    : m_deterministic(deterministic)
    , m_requestDeadline(requestDeadline)
{}

RelayStep RelayPlan::next(const AttemptReport &report, const StreamProgress &progress,
                          SteadyTime now)
{
    if (report.end != AttemptEnd::NotSent)
        m_executed = Executed::Unknown;
    switch (report.end) {
    case AttemptEnd::Complete:
        return FinishRelay{};
    case AttemptEnd::CallerGone:
        return AbandonRelay{};
    case AttemptEnd::Mismatch:
        return fail(502, "stream_differs", "The answer computed anew differs from what was sent.");
    case AttemptEnd::TooLarge:
        return fail(502, "answer_too_large", "The endpoint's answer is too large.");
    default:
        break;
    }
    if (now >= m_requestDeadline)
        return fail(504, "request_timeout", "The request took longer than it may.");
    return afterFailure(report, progress);
}

RelayStep RelayPlan::afterFailure(const AttemptReport &report, const StreamProgress &progress)
{
    m_endpointHasStream = (m_endpointHasStream || (report.answered && report.streamed))
                          && report.end != AttemptEnd::Rejected;
    m_resumesWithoutProgress = report.progressed ? 0 : m_resumesWithoutProgress + 1;
    if (mayResume(report, progress))
        return ResumeStream{ResumeBackOff
                            * (report.progressed ? 0U : m_resumesWithoutProgress - 1)};
    if (progress.relayed() != 0 && !m_deterministic)
        return fail(502, "stream_broken", "The endpoint's stream was lost and can't be resumed.");
    m_endpointHasStream = false;
    m_resumesWithoutProgress = 0;
    return SendToNewEndpoint{};
}

bool RelayPlan::mayResume(const AttemptReport &report, const StreamProgress &progress) const
{
    if (!m_endpointHasStream || !progress.numbered()
        || m_resumesWithoutProgress > MaxResumesWithoutProgress)
        return false;
    const bool repeatable = m_deterministic || progress.relayed() == 0;
    return report.end != AttemptEnd::NotSent || !repeatable;
}

FailRelay RelayPlan::noEndpointAvailable() const
{
    return fail(503, "no_endpoint", "No endpoint can take the request now.");
}

FailRelay RelayPlan::allEndpointsBusy() const
{
    return fail(503, "overloaded", "All endpoints are busy.");
}

FailRelay RelayPlan::retryBudgetExhausted() const
{
    return fail(503, "retries_exhausted",
                "The endpoint failed, and too many requests are retried.");
}

FailRelay RelayPlan::fail(int status, std::string code, std::string message) const
{
    return FailRelay{{status, std::move(code), std::move(message), m_executed}};
}

} // namespace almondmill
