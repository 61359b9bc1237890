#include "almondmill/claims/claimstore.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/store/objectstore.h"
#include "almondmill/store/updatesettler.h"

namespace almondmill {

namespace {

constexpr unsigned MaxTakeovers = 3;

/// Decodes a stored claim. Returns nothing when this version cannot decode it.
std::optional<Claim> readClaim(const std::string &name, const std::string &text)
{
    try {
        return decodeClaim(text);
    } catch (const Error &error) {
        log(LogLevel::Error, "claims", "Cannot decode " + name + ": " + error.what());
        return std::nullopt;
    }
}

ClaimDecision unavailable(const UpdateResult &result)
{
    if (const auto *notApplied = std::get_if<NotApplied>(&result))
        return ClaimUnavailable{notApplied->reason, false};
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&result))
        return ClaimUnavailable{unknown->reason, true};
    return ClaimUnavailable{"the claim was removed while it was being written", false};
}

} // namespace

ClaimStore::ClaimStore(ObjectStore &store, std::chrono::milliseconds timeout,
                       std::chrono::milliseconds maxCallDuration)
    : m_store(store)
    , m_timeout(timeout)
    , m_maxCallDuration(maxCallDuration)
{}

ClaimDecision ClaimStore::acquire(const std::string &name, const Claim &proposed, WallTime now)
{
    UpdateSettler settler(m_store, m_timeout);
    const UpdateResult created = settler.createIfAbsent(name, encodeClaim(proposed));
    if (const auto *applied = std::get_if<Applied>(&created))
        return ClaimHeld{proposed, applied->version};
    const auto *conflict = std::get_if<Conflict>(&created);
    if (!conflict)
        return unavailable(created);
    if (conflict->current)
        return decide(name, proposed, *conflict->current, now, 0);
    const ReadResult read = m_store.read(name, m_timeout);
    if (const auto *object = std::get_if<StoredObject>(&read))
        return decide(name, proposed, *object, now, 0);
    return ClaimUnavailable{"the existing claim could not be read", false};
}

ClaimDecision ClaimStore::decide(const std::string &name, const Claim &proposed,
                                 const StoredObject &object, WallTime now, unsigned takeovers)
{
    const std::optional<Claim> existing = readClaim(name, object.value);
    if (!existing)
        return ClaimOutcomeUnknown{};
    if (existing->state == ClaimState::Released)
        return takeOver(name, proposed, object, now, takeovers);
    if (existing->fingerprint != proposed.fingerprint)
        return ClaimMismatch{};
    switch (existing->state) {
    case ClaimState::Done:
        return ClaimAnswered{*existing->answer};
    case ClaimState::Unknown:
        return ClaimOutcomeUnknown{};
    case ClaimState::Sending:
    case ClaimState::Released:
        break;
    }
    if (now - existing->created < m_maxCallDuration)
        return ClaimInProgress{};
    return ClaimOutcomeUnknown{};
}

ClaimDecision ClaimStore::takeOver(const std::string &name, const Claim &proposed,
                                   const StoredObject &released, WallTime now, unsigned takeovers)
{
    if (takeovers == MaxTakeovers)
        return ClaimInProgress{};
    UpdateSettler settler(m_store, m_timeout);
    const UpdateResult updated = settler.update(name, encodeClaim(proposed), released.version);
    if (const auto *applied = std::get_if<Applied>(&updated))
        return ClaimHeld{proposed, applied->version};
    const auto *conflict = std::get_if<Conflict>(&updated);
    if (conflict && conflict->current)
        return decide(name, proposed, *conflict->current, now, takeovers + 1);
    return unavailable(updated);
}

bool ClaimStore::writeOutcome(const std::string &name, const Claim &outcome, std::uint64_t version)
{
    UpdateSettler settler(m_store, m_timeout);
    return std::holds_alternative<Applied>(settler.update(name, encodeClaim(outcome), version));
}

bool ClaimStore::settle(const std::string &name, const Claim &outcome)
{
    const ReadResult read = m_store.read(name, m_timeout);
    if (std::holds_alternative<Unavailable>(read))
        return false;
    const auto *object = std::get_if<StoredObject>(&read);
    const bool release = outcome.state == ClaimState::Released;
    if (!object && !release)
        return true; // The claim was swept because its retention time is over.
    if (!object) {
        UpdateSettler settler(m_store, m_timeout);
        return std::holds_alternative<Applied>(settler.createIfAbsent(name, encodeClaim(outcome)));
    }
    const std::optional<Claim> existing = readClaim(name, object->value);
    const bool ownClaim = existing && existing->id == outcome.id;
    if (!existing || (ownClaim && existing->state == outcome.state))
        return true;
    // A delayed takeover may still replace another holder's released claim. Writing a new version
    // of that claim makes the takeover fail.
    const bool fenceTakeover = release && existing->state == ClaimState::Released;
    if (ownClaim || fenceTakeover)
        return writeOutcome(name, outcome, object->version);
    return true;
}

} // namespace almondmill
