#include "almondmill/claims/atmostonceexecutor.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/claims/claimdecision.h"
#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/request/refusederror.h"

namespace almondmill {

namespace {

/// Converts a decision other than ClaimHeld into the caller's answer or refusal.
struct DecisionVisitor
{
    AtMostOnceAnswer operator()(const ClaimAnswered &answered) const
    {
        if (!answered.answer.bodyKept) {
            throw RefusedError({409, "answer_not_kept",
                                "The call ran; its answer was too large to be kept.",
                                Executed::Yes});
        }
        return {answered.answer, true};
    }

    AtMostOnceAnswer operator()(const ClaimInProgress &) const
    {
        throw RefusedError(
                {409, "in_progress", "A call with that key is in progress.", Executed::Unknown});
    }

    AtMostOnceAnswer operator()(const ClaimOutcomeUnknown &) const
    {
        throw RefusedError({409, "outcome_unknown",
                            "The call may have run; it is not run again under that key.",
                            Executed::Unknown});
    }

    AtMostOnceAnswer operator()(const ClaimMismatch &) const
    {
        throw RefusedError(
                {422, "key_reused", "The key was used before for another call.", Executed::No});
    }

    AtMostOnceAnswer operator()(const ClaimUnavailable &) const
    {
        throw RefusedError({503, "claims_unavailable",
                            "The call can't be claimed now; it was not sent.", Executed::No});
    }

    AtMostOnceAnswer operator()(const ClaimHeld &) const
    {
        throw Error("claims.102",
                    "internal error: got a held claim, expected a decision that needs no sending");
    }
};

} // namespace

AtMostOnceExecutor::AtMostOnceExecutor(ClaimStore &claims, ClaimSettler &settler, Metrics &metrics,
                                       std::string holder, std::uint64_t incarnation, Clock clock)
    : m_claims(claims)
    , m_settler(settler)
    , m_claimed(metrics.counter("almondmill_claims_total"))
    , m_replayed(metrics.counter("almondmill_claims_replayed_total"))
    , m_holder(std::move(holder))
    , m_incarnation(incarnation)
    , m_clock(std::move(clock))
{}

AtMostOnceAnswer AtMostOnceExecutor::run(const AtMostOnceCall &call, WallTime now, const Send &send)
{
    const std::string name = claimName(call.clientAccount, call.key);
    Claim proposed;
    proposed.id = randomId();
    proposed.fingerprint = call.fingerprint;
    proposed.holder = m_holder;
    proposed.incarnation = m_incarnation;
    proposed.created = now;
    ClaimDecision decision = m_claims.acquire(name, proposed, now);
    if (auto *held = std::get_if<ClaimHeld>(&decision))
        return sendWithClaim(name, std::move(*held), call, send);
    const auto *unavailable = std::get_if<ClaimUnavailable>(&decision);
    if (unavailable && unavailable->mayExist) {
        proposed.state = ClaimState::Released;
        m_settler.add(name, proposed);
    }
    if (std::holds_alternative<ClaimAnswered>(decision))
        m_replayed.add();
    return std::visit(DecisionVisitor{}, decision);
}

AtMostOnceAnswer AtMostOnceExecutor::sendWithClaim(const std::string &name, ClaimHeld held,
                                                   const AtMostOnceCall &call, const Send &send)
{
    m_claimed.add();
    Claim &claim = held.claim;
    SendOutcome outcome = NeverSent{"The call was held up too long before it was sent."};
    if (m_clock() <= call.sendBy)
        outcome = send();
    if (auto *answer = std::get_if<StoredAnswer>(&outcome)) {
        claim.state = ClaimState::Done;
        claim.answer = *answer;
        writeOutcome(name, claim, held.version);
        return {std::move(*answer), false};
    }
    if (const auto *neverSent = std::get_if<NeverSent>(&outcome)) {
        claim.state = ClaimState::Released;
        writeOutcome(name, claim, held.version);
        throw RefusedError({503, "not_sent", neverSent->reason, Executed::No});
    }
    claim.state = ClaimState::Unknown;
    writeOutcome(name, claim, held.version);
    throw RefusedError({502, "no_answer", std::get<MayHaveRun>(outcome).reason, Executed::Unknown});
}

void AtMostOnceExecutor::writeOutcome(const std::string &name, const Claim &outcome,
                                      std::uint64_t version)
{
    if (!m_claims.writeOutcome(name, outcome, version))
        m_settler.add(name, outcome);
}

} // namespace almondmill
