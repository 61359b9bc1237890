#pragma once

#include "almondmill/claims/claimdecision.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

class ObjectStore;
struct StoredObject;

/// Stores claims in the object API. A claim counts as sent from its creation, so a call costs two
/// writes, and only a claim that its holder released can be taken over. Whether a call may be sent
/// never depends on a lease or on the time. The age of a claim only selects the error that callers
/// receive: in progress, or outcome unknown.
class ClaimStore
{
public:
    /// `timeout` applies to each call to the store. A claim older than `maxCallDuration` is no
    /// longer reported as in progress.
    ClaimStore(ObjectStore &store, std::chrono::milliseconds timeout,
               std::chrono::milliseconds maxCallDuration);

    /// Claims the call, or returns the reason why it cannot be claimed. Costs one call to the store
    /// when the key is new and the store's answer is not lost.
    ClaimDecision acquire(const std::string &name, const Claim &proposed, WallTime now);

    /// Writes the outcome of a claim that this process holds. Costs one call to the store unless
    /// its answer is lost. Returns false when it is not certain that the outcome is stored.
    bool writeOutcome(const std::string &name, const Claim &outcome, std::uint64_t version);

    /// Writes the outcome of a claim whose version is not known, or which may not exist. A released
    /// claim is written even when no claim exists, so that a delayed creation can no longer take
    /// effect. Costs at most six calls to the store. Returns false when it must be retried.
    bool settle(const std::string &name, const Claim &outcome);

private:
    ClaimDecision decide(const std::string &name, const Claim &proposed, const StoredObject &object,
                         WallTime now, unsigned takeovers);
    ClaimDecision takeOver(const std::string &name, const Claim &proposed,
                           const StoredObject &released, WallTime now, unsigned takeovers);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    std::chrono::milliseconds m_maxCallDuration;
};

} // namespace almondmill
