#pragma once

#include "almondmill/claims/claimdecision.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

class ObjectStore;
struct StoredObject;

/// Claims in the object API. A claim counts as sent from its creation on, so a call costs two
/// writes, and nobody ever takes over a claim but one that its own holder released. No decision
/// here rests on a lease or on the time, but for the wording told of a claim in progress.
class ClaimStore
{
public:
    /// Each call to the store has `timeout`. A claim older than `longestCall` is no longer told as
    /// in progress.
    ClaimStore(ObjectStore &store, std::chrono::milliseconds timeout,
               std::chrono::milliseconds longestCall);

    /// Claims the call, or says why not. One call to the store when the key is fresh and no answer
    /// is lost.
    ClaimDecision acquire(const std::string &name, const Claim &wanted, WallTime now);

    /// Writes the end of a claim that this process holds. One call to the store unless an answer is
    /// lost. False when it is not certain that the end stands.
    bool end(const std::string &name, const Claim &ended, std::uint64_t version);

    /// Writes the end of a claim whose version is not known, or which may not stand at all. A
    /// released claim is written even where none stands, so that a creation still under way can't
    /// take effect any more. At most six calls to the store. False: to be tried again.
    bool settle(const std::string &name, const Claim &ended);

private:
    ClaimDecision judge(const std::string &name, const Claim &wanted, const StoredObject &object,
                        WallTime now, unsigned takeovers);
    ClaimDecision takeOver(const std::string &name, const Claim &wanted,
                           const StoredObject &released, WallTime now, unsigned takeovers);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    std::chrono::milliseconds m_longestCall;
};

} // namespace almondmill
