#include "almondmill/claims/claimstore.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/store/objectstore.h"
#include "almondmill/store/updatesettler.h"

namespace almondmill {

namespace {

constexpr unsigned MostTakeovers = 3;

/// The claim as it stands; nothing when it is not one that this version can read.
std::optional<Claim> readClaim(const std::string &name, const std::string &text)
{
    try {
        return decodeClaim(text);
    } catch (const Error &error) {
        log(LogLevel::Error, "claims", name + " can't be read: " + error.what());
        return std::nullopt;
    }
}

ClaimDecision unavailable(const UpdateResult &result)
{
    if (const auto *notApplied = std::get_if<NotApplied>(&result))
        return ClaimUnavailable{notApplied->reason, false};
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&result))
        return ClaimUnavailable{unknown->reason, true};
    return ClaimUnavailable{"the claim was removed meanwhile", false};
}

} // namespace

ClaimStore::ClaimStore(ObjectStore &store, std::chrono::milliseconds timeout,
                       std::chrono::milliseconds longestCall)
    : m_store(store)
    , m_timeout(timeout)
    , m_longestCall(longestCall)
{}

ClaimDecision ClaimStore::acquire(const std::string &name, const Claim &wanted, WallTime now)
{
    UpdateSettler settler(m_store, m_timeout);
    const UpdateResult created = settler.createIfAbsent(name, encodeClaim(wanted));
    if (const auto *applied = std::get_if<Applied>(&created))
        return ClaimHeld{wanted, applied->version};
    const auto *conflict = std::get_if<Conflict>(&created);
    if (!conflict)
        return unavailable(created);
    if (conflict->current)
        return judge(name, wanted, *conflict->current, now, 0);
    const ReadResult read = m_store.read(name, m_timeout);
    if (const auto *object = std::get_if<StoredObject>(&read))
        return judge(name, wanted, *object, now, 0);
    return ClaimUnavailable{"the claim that stands can't be read", false};
}

ClaimDecision ClaimStore::judge(const std::string &name, const Claim &wanted,
                                const StoredObject &object, WallTime now, unsigned takeovers)
{
    const std::optional<Claim> standing = readClaim(name, object.value);
    if (!standing)
        return ClaimLost{};
    if (standing->state == ClaimState::Released)
        return takeOver(name, wanted, object, now, takeovers);
    if (standing->fingerprint != wanted.fingerprint)
        return ClaimMismatch{};
    switch (standing->state) {
    case ClaimState::Done:
        return ClaimAnswered{*standing->answer};
    case ClaimState::Unknown:
        return ClaimLost{};
    case ClaimState::Sending:
    case ClaimState::Released:
        break;
    }
    if (now - standing->created < m_longestCall)
        return ClaimInProgress{};
    return ClaimLost{};
}

ClaimDecision ClaimStore::takeOver(const std::string &name, const Claim &wanted,
                                   const StoredObject &released, WallTime now, unsigned takeovers)
{
    if (takeovers == MostTakeovers)
        return ClaimInProgress{};
    UpdateSettler settler(m_store, m_timeout);
    const UpdateResult updated = settler.update(name, encodeClaim(wanted), released.version);
    if (const auto *applied = std::get_if<Applied>(&updated))
        return ClaimHeld{wanted, applied->version};
    const auto *conflict = std::get_if<Conflict>(&updated);
    if (conflict && conflict->current)
        return judge(name, wanted, *conflict->current, now, takeovers + 1);
    return unavailable(updated);
}

bool ClaimStore::end(const std::string &name, const Claim &ended, std::uint64_t version)
{
    UpdateSettler settler(m_store, m_timeout);
    return std::holds_alternative<Applied>(settler.update(name, encodeClaim(ended), version));
}

bool ClaimStore::settle(const std::string &name, const Claim &ended)
{
    const ReadResult read = m_store.read(name, m_timeout);
    if (std::holds_alternative<Unavailable>(read))
        return false;
    const auto *object = std::get_if<StoredObject>(&read);
    const bool release = ended.state == ClaimState::Released;
    if (!object && !release)
        return true; // Swept: the window of the key is over.
    if (!object) {
        UpdateSettler settler(m_store, m_timeout);
        return std::holds_alternative<Applied>(settler.createIfAbsent(name, encodeClaim(ended)));
    }
    const std::optional<Claim> standing = readClaim(name, object->value);
    const bool own = standing && standing->id == ended.id;
    if (!standing || (own && standing->state == ended.state))
        return true;
    // A released claim of another holder may be what a takeover still under way waits to replace.
    const bool fence = release && standing->state == ClaimState::Released;
    if (own || fence)
        return end(name, ended, object->version);
    return true;
}

} // namespace almondmill
