#include "support/claimharness.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/store/updatesettler.h"

#include <nlohmann/json.hpp>

namespace almondmill::test {

namespace {

constexpr std::chrono::milliseconds Timeout{1000};
constexpr std::chrono::seconds LongestCall{60};
const WallTime Now = WallTime(std::chrono::hours(24 * 365 * 50));

/// Encodes a store fault and a send fault in one action of an interleaving:
/// `send * SendFactor + store`.
constexpr int SendFactor = 16;

StoreFault storeFault(int action)
{
    return static_cast<StoreFault>(action % SendFactor);
}

SendFault sendFault(int action)
{
    return static_cast<SendFault>(action / SendFactor);
}

AtMostOnceCall theCall()
{
    return {"account", "key", "fingerprint", SteadyTime::max()};
}

AtMostOnceAnswer answerOrRefuse(SendOutcome outcome)
{
    if (std::holds_alternative<NeverSent>(outcome))
        throw RefusedError({503, "not_sent", "", Executed::No});
    if (std::holds_alternative<MayHaveRun>(outcome))
        throw RefusedError({502, "no_answer", "", Executed::Unknown});
    return {std::get<StoredAnswer>(outcome), false};
}

} // namespace

ClaimHarness::Holder::Holder(ClaimStore &claims, Metrics &metrics, std::size_t number)
    : settler(claims, metrics)
    , atMostOnce(claims, settler, metrics, "router-" + std::to_string(number), number + 1)
{}

ClaimHarness::ClaimHarness(CallHandler handler)
    : m_handler(std::move(handler))
    , m_claims(m_store, Timeout, LongestCall)
{
    m_store.setHook([this](const StoreCall &) { return storeFault(m_steps.step()); });
}

ClaimHarness::~ClaimHarness() = default;

bool ClaimHarness::allFinished() const
{
    for (std::size_t holder = 0; holder < m_holders.size(); ++holder) {
        if (!m_steps.finished(holder))
            return false;
    }
    return true;
}

void ClaimHarness::add()
{
    const std::size_t number = m_holders.size();
    m_holders.push_back(std::make_unique<Holder>(m_claims, m_metrics, number));
    m_steps.add([this, number] { call(number); });
}

void ClaimHarness::advance(std::size_t holder, const StepFault &fault)
{
    m_steps.move(holder, static_cast<int>(fault.send) * SendFactor + static_cast<int>(fault.store));
}

void ClaimHarness::kill(std::size_t holder)
{
    m_holders[holder]->killed = true;
    while (!m_steps.finished(holder))
        m_steps.kill(holder);
}

void ClaimHarness::finish()
{
    for (std::size_t holder = 0; holder < m_holders.size(); ++holder) {
        while (!m_steps.finished(holder))
            advance(holder);
    }
    settle();
    m_store.applyLate();
}

void ClaimHarness::settle()
{
    for (const auto &holder : m_holders) {
        if (!holder->killed)
            holder->settler.settlePending();
    }
}

AtMostOnceAnswer ClaimHarness::atMostOnce(ClaimHarness &harness, std::size_t holder,
                                          const AtMostOnceExecutor::Send &send)
{
    return harness.m_holders[holder]->atMostOnce.run(theCall(), Now, send);
}

AtMostOnceAnswer ClaimHarness::expiringLease(ClaimHarness &harness, std::size_t holder,
                                             const AtMostOnceExecutor::Send &send)
{
    const std::string name = claimName("account", "key");
    const std::string value = "lease of " + std::to_string(holder);
    UpdateSettler settler(harness.m_store, Timeout);
    UpdateResult result = settler.createIfAbsent(name, value);
    const auto *conflict = std::get_if<Conflict>(&result);
    if (conflict && conflict->current) {
        if (conflict->current->value == "done")
            return {StoredAnswer{}, true};
        result = settler.update(name, value, conflict->current->version);
    }
    const auto *applied = std::get_if<Applied>(&result);
    if (!applied)
        throw RefusedError({503, "claims_unavailable", "", Executed::No});
    SendOutcome outcome = send();
    settler.update(name, "done", applied->version);
    return answerOrRefuse(std::move(outcome));
}

AtMostOnceAnswer ClaimHarness::noClaim(ClaimHarness &, std::size_t,
                                       const AtMostOnceExecutor::Send &send)
{
    return answerOrRefuse(send());
}

SendOutcome ClaimHarness::send(Holder &holder)
{
    const SendFault fault = sendFault(m_steps.step());
    if (fault == SendFault::NeverConnected)
        return NeverSent{"fault"};
    if (fault == SendFault::RequestLost)
        return MayHaveRun{"fault"};
    ++m_runs;
    ++holder.result.sent;
    m_steps.step(); // The answer is in transit.
    if (fault == SendFault::AnswerLost)
        return MayHaveRun{"fault"};
    StoredAnswer answer;
    answer.status = 200;
    answer.body = "run " + std::to_string(m_runs);
    return answer;
}

void ClaimHarness::call(std::size_t number)
{
    Holder &holder = *m_holders[number];
    try {
        const AtMostOnceAnswer answer = m_handler(*this, number, [&] { return send(holder); });
        holder.result.kind =
                answer.replayed ? CallResult::Kind::Replayed : CallResult::Kind::Answered;
    } catch (const RefusedError &error) {
        holder.result.kind = CallResult::Kind::Refused;
        holder.result.code = error.refusal().code;
        holder.result.ran = nlohmann::json::parse(error.refusal().json()).at("ran");
    }
}

} // namespace almondmill::test
