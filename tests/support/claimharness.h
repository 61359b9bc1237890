#pragma once

#include "support/hookedstore.h"
#include "support/interleaving.h"

#include "almondmill/claims/claimsettler.h"
#include "almondmill/claims/claimstore.h"
#include "almondmill/claims/onceonly.h"
#include "almondmill/metrics/metrics.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// What the endpoint does with the one sending of a call.
enum class SendFault {
    None,
    NeverConnected, ///< It does not run, and the holder knows.
    RequestLost,    ///< It does not run, and the holder does not know.
    AnswerLost,     ///< It runs, and the holder does not know.
};

/// What goes wrong with a holder's next step, whichever it is.
struct StepFault
{
    StoreFault store = StoreFault::None;
    SendFault send = SendFault::None;
};

/// What one call came to.
struct CallResult
{
    enum class Kind { Pending, Answered, Replayed, Refused };

    Kind kind = Kind::Pending;
    std::string code;
    std::string ran;
    unsigned sent = 0; ///< How often this call's own holder ran it.
};

/// Several holders, each a router of its own, that get the same call with the same key, over one
/// store and one endpoint that counts its runs.
class ClaimHarness
{
public:
    /// How a holder handles a call: OnceOnly, or a naive way to compare with. Throws RefusedError.
    using Way = std::function<OnceOnlyAnswer(ClaimHarness &, std::size_t holder,
                                             const OnceOnly::Send &)>;

    explicit ClaimHarness(Way way);
    ~ClaimHarness();

    HookedStore &store() { return m_store; }
    Interleaving &steps() { return m_steps; }
    unsigned runs() const { return m_runs; }
    const CallResult &result(std::size_t holder) const { return m_holders[holder]->result; }
    std::size_t size() const { return m_holders.size(); }
    bool allFinished() const;

    /// Adds a holder and lets it come up to its first call of the store.
    void add();

    /// Lets the holder make its next step, a call to the store or the sending.
    void move(std::size_t holder, const StepFault &fault = {});

    /// Kills the holder for good: it settles nothing.
    void kill(std::size_t holder);

    /// Lets every holder that lives settle what it could not write.
    void settle();

    /// Moves every holder that lives to its end, without faults, and settles what is left; changes
    /// that are late still come after that.
    void finish();

    /// The true way, over the harness' store.
    static OnceOnlyAnswer onceOnly(ClaimHarness &harness, std::size_t holder,
                                   const OnceOnly::Send &send);

    /// The naive way of a claim with a lease, such as `unlock_at`: taken over once it has lapsed.
    /// Every lease counts as lapsed when it is looked at, as if the others were paused that long.
    static OnceOnlyAnswer lapsingLease(ClaimHarness &harness, std::size_t holder,
                                       const OnceOnly::Send &send);

    /// The naive way of no claim at all.
    static OnceOnlyAnswer noClaim(ClaimHarness &harness, std::size_t holder,
                                  const OnceOnly::Send &send);

private:
    struct Holder
    {
        Holder(ClaimStore &claims, Metrics &metrics, std::size_t number);

        ClaimSettler settler;
        OnceOnly onceOnly;
        CallResult result;
        bool killed = false;
    };

    SendOutcome send(Holder &holder);
    void call(std::size_t holder);

    Way m_way;
    HookedStore m_store;
    Metrics m_metrics;
    ClaimStore m_claims;
    unsigned m_runs = 0;
    std::vector<std::unique_ptr<Holder>> m_holders;
    Interleaving m_steps; ///< Last: its threads use all of the above.
};

} // namespace almondmill::test
