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

/// A call that may not be repeated and that has a key.
struct OnceOnlyCall
{
    std::string clientAccount;
    std::string key;
    std::string fingerprint;
    SteadyTime sendBy; ///< Not sent after this time: a holder that was paused may wake late.
};

/// The answer of such a call.
struct OnceOnlyAnswer
{
    StoredAnswer answer;
    bool replayed = false; ///< Whether an earlier call got it.
};

/// Runs calls with a key at most once: claim, send, keep the answer. Safe for several threads.
class OnceOnly
{
public:
    using Send = std::function<SendOutcome()>;
    using Clock = std::function<SteadyTime()>;

    /// `holder` and `incarnation` name this process in its claims.
    OnceOnly(ClaimStore &claims, ClaimSettler &settler, Metrics &metrics, std::string holder,
             std::uint64_t incarnation, Clock clock = std::chrono::steady_clock::now);

    /// Calls `send` at most once, and never when any process may have called it for the same key.
    /// Throws RefusedError when there is no answer to give. Two writes to the store when all goes
    /// well.
    OnceOnlyAnswer run(const OnceOnlyCall &call, WallTime now, const Send &send);

private:
    OnceOnlyAnswer sendUnder(const std::string &name, ClaimHeld held, const OnceOnlyCall &call,
                             const Send &send);
    void end(const std::string &name, const Claim &ended, std::uint64_t version);

    ClaimStore &m_claims;
    ClaimSettler &m_settler;
    Counter &m_claimed;
    Counter &m_replayed;
    std::string m_holder;
    std::uint64_t m_incarnation;
    Clock m_clock;
};

} // namespace almondmill
