#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/request/attemptreport.h"
#include "almondmill/request/relaystep.h"

namespace almondmill {

class StreamProgress;

/// Decides the next step after each attempt of one completion. Resumes the stream where the
/// endpoint still has it. Otherwise retries at another endpoint where that cannot give the caller
/// different events. Otherwise fails with an explicit error.
class RelayPlan
{
public:
    /// Consecutive resumptions without a new event before the endpoint counts as failed.
    static constexpr unsigned MaxResumesWithoutProgress = 3;

    /// `deterministic`: every endpoint generates the same tokens. `requestDeadline`: when the
    /// request times out.
    RelayPlan(bool deterministic, SteadyTime requestDeadline);

    SteadyTime requestDeadline() const { return m_requestDeadline; }

    /// Whether a byte of the request may have reached an endpoint.
    Executed executed() const { return m_executed; }

    RelayStep next(const AttemptReport &report, const StreamProgress &progress, SteadyTime now);

    /// The step when every endpoint is busy: the queue is full, or the wait in it timed out.
    FailRelay allEndpointsBusy() const;

    /// The step when the router's retry budget is exhausted.
    FailRelay retryBudgetExhausted() const;

    /// The step when no endpoint is left that the request can be sent to.
    FailRelay noEndpointAvailable() const;

private:
    RelayStep afterFailure(const AttemptReport &report, const StreamProgress &progress);
    bool mayResume(const AttemptReport &report, const StreamProgress &progress) const;
    FailRelay fail(int status, std::string code, std::string message) const;

    bool m_deterministic;
    SteadyTime m_requestDeadline;
    Executed m_executed = Executed::No;
    bool m_endpointHasStream = false; ///< As far as known, the endpoint still has the stream.
    unsigned m_resumesWithoutProgress = 0;
};

} // namespace almondmill
