#pragma once

#include "almondmill/claims/claim.h"
#include "almondmill/claims/sendoutcome.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace almondmill {

class ClaimSettler;
class ClaimStore;
class Counter;
class Metrics;
struct ClaimHeld;

/// A call with an idempotency key, to be run at most once.
struct AtMostOnceCall
{
    std::string clientAccount;
    std::string key;
    std::string fingerprint;

    /// The call is not sent after this time, because a paused holder may resume much later.
    SteadyTime sendBy;
};

/// The answer of a call that runs at most once.
struct AtMostOnceAnswer
{
    StoredAnswer answer;
    bool replayed = false; ///< Whether it is the stored answer of an earlier call.
};

/// Runs calls with an idempotency key at most once: claims the key, sends the call and stores its
/// answer. Thread-safe.
class AtMostOnceExecutor
{
public:
    using Send = std::function<SendOutcome()>;
    using Clock = std::function<SteadyTime()>;

    /// `holder` and `incarnation` identify this process in its claims.
    AtMostOnceExecutor(ClaimStore &claims, ClaimSettler &settler, Metrics &metrics,
                       std::string holder, std::uint64_t incarnation,
                       Clock clock = std::chrono::steady_clock::now);

    /// Calls `send` at most once, and never when another process may have sent the call for the
    /// same key. Throws RefusedError when no answer is available. Costs two writes to the store
    /// when no fault occurs.
    AtMostOnceAnswer run(const AtMostOnceCall &call, WallTime now, const Send &send);

private:
    AtMostOnceAnswer sendWithClaim(const std::string &name, ClaimHeld held,
                                   const AtMostOnceCall &call, const Send &send);
    void writeOutcome(const std::string &name, const Claim &outcome, std::uint64_t version);

    ClaimStore &m_claims;
    ClaimSettler &m_settler;
    Counter &m_claimed;
    Counter &m_replayed;
    std::string m_holder;
    std::uint64_t m_incarnation;
    Clock m_clock;
};

} // namespace almondmill
