#pragma once

#include "support/hookedstore.h"
#include "support/interleaving.h"

#include "almondmill/claims/atmostonceexecutor.h"
#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/metrics/metrics.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// Fault in sending a call to the endpoint.
enum class SendFault {
    None,
    NeverConnected, ///< The call does not run, and the holder knows it.
    RequestLost,    ///< The call does not run, and the holder does not know it.
    AnswerLost,     ///< The call runs, and the holder does not know it.
};

/// Faults of a holder's next step; the one that matches the kind of the step applies.
struct StepFault
{
    StoreFault store = StoreFault::None;
    SendFault send = SendFault::None;
};

/// Result of one call.
struct CallResult
{
    enum class Kind { Pending, Answered, Replayed, Refused };

    Kind kind = Kind::Pending;
    std::string code;
    std::string ran;
    unsigned sent = 0; ///< How often the endpoint ran it for this holder.
};

/// Several holders, each representing a router, that receive the same call with the same key. They
/// share one store and one endpoint that counts how often it runs the call.
class ClaimHarness
{
public:
    /// Handles a call for a holder: with AtMostOnceExecutor, or naively for comparison. Throws
    /// RefusedError.
    using CallHandler = std::function<AtMostOnceAnswer(ClaimHarness &, std::size_t holder,
                                                       const AtMostOnceExecutor::Send &)>;

    explicit ClaimHarness(CallHandler handler);
    ~ClaimHarness();

    HookedStore &store() { return m_store; }
    Interleaving &steps() { return m_steps; }
    unsigned runs() const { return m_runs; }
    const CallResult &result(std::size_t holder) const { return m_holders[holder]->result; }
    std::size_t size() const { return m_holders.size(); }
    bool allFinished() const;

    /// Adds a holder and runs it up to its first call to the store.
    void add();

    /// Runs the holder's next step: a call to the store, a send or an answer in transit.
    void advance(std::size_t holder, const StepFault &fault = {});

    /// Kills the holder permanently. It does not settle its outcomes.
    void kill(std::size_t holder);

    /// Lets every holder that was not killed settle the outcomes that it could not write.
    void settle();

    /// Runs every holder that was not killed to its end without faults and settles the remaining
    /// outcomes. Delayed changes take effect after that.
    void finish();

    /// Handles the call with AtMostOnceExecutor over the harness's store.
    static AtMostOnceAnswer atMostOnce(ClaimHarness &harness, std::size_t holder,
                                       const AtMostOnceExecutor::Send &send);

    /// Handles the call naively with a claim that has a lease, such as `unlock_at`, and is taken
    /// over once the lease has expired. Every lease counts as expired when it is read, as if its
    /// holder had been paused for the whole duration.
    static AtMostOnceAnswer expiringLease(ClaimHarness &harness, std::size_t holder,
                                          const AtMostOnceExecutor::Send &send);

    /// Handles the call naively without a claim.
    static AtMostOnceAnswer noClaim(ClaimHarness &harness, std::size_t holder,
                                    const AtMostOnceExecutor::Send &send);

private:
    struct Holder
    {
        Holder(ClaimStore &claims, Metrics &metrics, std::size_t number);

        ClaimSettler settler;
        AtMostOnceExecutor atMostOnce;
        CallResult result;
        bool killed = false;
    };

    SendOutcome send(Holder &holder);
    void call(std::size_t holder);

    CallHandler m_handler;
    HookedStore m_store;
    Metrics m_metrics;
    ClaimStore m_claims;
    unsigned m_runs = 0;
    std::vector<std::unique_ptr<Holder>> m_holders;
    Interleaving m_steps; ///< Last: its threads use the members above.
};

} // namespace almondmill::test
