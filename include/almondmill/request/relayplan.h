#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/request/attemptreport.h"
#include "almondmill/request/relaystep.h"

namespace almondmill {

class StreamProgress;

/// Decides what follows the end of each attempt of one completion: resume where the endpoint still
/// has the stream, else compute anew where that repeats nothing, else an explicit error.
class RelayPlan
{
public:
    /// Resumptions in a row that bring no event; after them the endpoint counts as gone.
    static constexpr unsigned MostFruitlessResumes = 3;

    /// `deterministic`: every endpoint gives the same tokens. `endBy`: when the request is given
    /// up.
    RelayPlan(bool deterministic, SteadyTime endBy);

    SteadyTime endBy() const { return m_endBy; }

    /// Whether a byte of the request may have reached an endpoint.
    Ran ran() const { return m_ran; }

    RelayStep next(const AttemptReport &report, const StreamProgress &progress, SteadyTime now);

    /// What to do when every endpoint is busy: none had room in time, or too many wait already.
    FailRelay noRoom() const;

    /// What to do when the retry budget of the router is used up.
    FailRelay noRetry() const;

    /// What to do when no endpoint is left to send the request to.
    FailRelay noEndpoint() const;

private:
    RelayStep afterFailure(const AttemptReport &report, const StreamProgress &progress);
    bool mayResume(const AttemptReport &report, const StreamProgress &progress) const;
    FailRelay fail(int status, std::string code, std::string sentence) const;

    bool m_deterministic;
    SteadyTime m_endBy;
    Ran m_ran = Ran::No;
    bool m_streamKnown = false; ///< The endpoint has the stream, as far as known.
    unsigned m_fruitless = 0;
};

} // namespace almondmill
