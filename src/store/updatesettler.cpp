#include "almondmill/store/updatesettler.h"

#include "almondmill/store/objectstore.h"

namespace almondmill {

UpdateSettler::UpdateSettler(ObjectStore &store, std::chrono::milliseconds timeout, unsigned rounds)
    : m_store(store)
    , m_timeout(timeout)
    , m_rounds(rounds)
{}

UpdateResult UpdateSettler::createIfAbsent(const std::string &name, const std::string &value)
{
    return applyAndSettle({name, value, 0});
}

UpdateResult UpdateSettler::update(const std::string &name, const std::string &value,
                                   std::uint64_t expectedVersion)
{
    return applyAndSettle({name, value, expectedVersion});
}

UpdateResult UpdateSettler::applyAndSettle(const Change &change)
{
    UpdateResult result = send(change);
    if (!std::holds_alternative<OutcomeUnknown>(result))
        return result;
    for (unsigned round = 0; round < m_rounds; ++round) {
        bool unchanged = false;
        UpdateResult settled = readBack(change, unchanged);
        if (!unchanged)
            return settled;
        // The first request may still be in flight, so NotApplied for the retry is not conclusive.
        settled = send(change);
        if (std::holds_alternative<Applied>(settled))
            return settled;
        if (std::holds_alternative<Conflict>(settled))
            return readBack(change, unchanged);
    }
    return result;
}

UpdateResult UpdateSettler::send(const Change &change)
{
    if (change.expectedVersion == 0)
        return m_store.createIfAbsent(change.name, change.value, m_timeout);
    return m_store.update(change.name, change.value, change.expectedVersion, m_timeout);
}

UpdateResult UpdateSettler::readBack(const Change &change, bool &unchanged)
{
    const ReadResult read = m_store.read(change.name, m_timeout);
    if (const auto *unavailable = std::get_if<Unavailable>(&read))
        return OutcomeUnknown{unavailable->reason};
    const auto *object = std::get_if<StoredObject>(&read);
    const std::uint64_t version = object ? object->version : 0;
    if (object && object->value == change.value)
        return Applied{version};
    unchanged = version == change.expectedVersion;
    if (unchanged)
        return OutcomeUnknown{"the object does not hold the new value yet"};
    if (change.expectedVersion == 0)
        return Conflict{*object};
    return OutcomeUnknown{"the object has since been replaced by another update"};
}

} // namespace almondmill
