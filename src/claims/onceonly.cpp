#include "almondmill/claims/onceonly.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/claims/claimdecision.h"
#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/kernel/randomid.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/request/refusederror.h"

namespace almondmill {

namespace {

/// Turns a decision other than ClaimHeld into the caller's answer or refusal.
struct DecisionVisitor
{
    OnceOnlyAnswer operator()(const ClaimAnswered &answered) const
    {
        if (!answered.answer.bodyKept) {
            throw RefusedError({409, "answer_not_kept",
                                "The call ran; its answer was too large to be kept.", Ran::Yes});
        }
        return {answered.answer, true};
    }

    OnceOnlyAnswer operator()(const ClaimInProgress &) const
    {
        throw RefusedError(
                {409, "in_progress", "A call with that key is in progress.", Ran::Unknown});
    }

    OnceOnlyAnswer operator()(const ClaimLost &) const
    {
        throw RefusedError({409, "outcome_unknown",
                            "The call may have run; it is not run again under that key.",
                            Ran::Unknown});
    }

    OnceOnlyAnswer operator()(const ClaimMismatch &) const
    {
        throw RefusedError(
                {422, "key_reused", "The key was used before for another call.", Ran::No});
    }

    OnceOnlyAnswer operator()(const ClaimUnavailable &) const
    {
        throw RefusedError({503, "claims_unavailable",
                            "The call can't be claimed now; it was not sent.", Ran::No});
    }

    OnceOnlyAnswer operator()(const ClaimHeld &) const
    {
        throw Error("claims.102", "a held claim is sent, not answered");
    }
};

} // namespace

OnceOnly::OnceOnly(ClaimStore &claims, ClaimSettler &settler, Metrics &metrics, std::string holder,
                   std::uint64_t incarnation, Clock clock)
    : m_claims(claims)
    , m_settler(settler)
    , m_claimed(metrics.counter("almondmill_claims_total"))
    , m_replayed(metrics.counter("almondmill_claims_replayed_total"))
    , m_holder(std::move(holder))
    , m_incarnation(incarnation)
    , m_clock(std::move(clock))
{}

OnceOnlyAnswer OnceOnly::run(const OnceOnlyCall &call, WallTime now, const Send &send)
{
    const std::string name = claimName(call.clientAccount, call.key);
    Claim wanted;
    wanted.id = randomId();
    wanted.fingerprint = call.fingerprint;
    wanted.holder = m_holder;
    wanted.incarnation = m_incarnation;
    wanted.created = now;
    ClaimDecision decision = m_claims.acquire(name, wanted, now);
    if (auto *held = std::get_if<ClaimHeld>(&decision))
        return sendUnder(name, std::move(*held), call, send);
    const auto *unavailable = std::get_if<ClaimUnavailable>(&decision);
    if (unavailable && unavailable->mayAppear) {
        wanted.state = ClaimState::Released;
        m_settler.add(name, wanted);
    }
    if (std::holds_alternative<ClaimAnswered>(decision))
        m_replayed.add();
    return std::visit(DecisionVisitor{}, decision);
}

OnceOnlyAnswer OnceOnly::sendUnder(const std::string &name, ClaimHeld held,
                                   const OnceOnlyCall &call, const Send &send)
{
    m_claimed.add();
    Claim &claim = held.claim;
    SendOutcome outcome = NeverSent{"The call was held up too long before it was sent."};
    if (m_clock() <= call.sendBy)
        outcome = send();
    if (auto *answer = std::get_if<StoredAnswer>(&outcome)) {
        claim.state = ClaimState::Done;
        claim.answer = *answer;
        end(name, claim, held.version);
        return {std::move(*answer), false};
    }
    if (const auto *never = std::get_if<NeverSent>(&outcome)) {
        claim.state = ClaimState::Released;
        end(name, claim, held.version);
        throw RefusedError({503, "not_sent", never->reason, Ran::No});
    }
    claim.state = ClaimState::Unknown;
    end(name, claim, held.version);
    throw RefusedError({502, "no_answer", std::get<MayHaveRun>(outcome).reason, Ran::Unknown});
}

void OnceOnly::end(const std::string &name, const Claim &ended, std::uint64_t version)
{
    if (!m_claims.end(name, ended, version))
        m_settler.add(name, ended);
}

} // namespace almondmill
