#pragma once

#include "almondmill/store/updateresult.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

class ObjectStore;

/// Makes changes to one object whose lost answers are settled by reading back. The value must be
/// one that nobody else writes, such as one that holds a fresh id. An object found unchanged is
/// written again under the same condition, which can take effect once at most.
class UpdateSettler
{
public:
    /// Each call to the store has `timeout`; a change makes at most 1 + 2 * `rounds` calls.
    UpdateSettler(ObjectStore &store, std::chrono::milliseconds timeout, unsigned rounds = 2);

    /// Applied, Conflict or NotApplied for certain, else OutcomeUnknown: the change may then take
    /// effect even later. One call to the store unless an answer is lost.
    UpdateResult createIfAbsent(const std::string &name, const std::string &value);

    /// As above. OutcomeUnknown also when the object was replaced since by a value that does not
    /// tell whether this one stood before it.
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion);

private:
    /// A change and its condition; version zero stands for "no object of that name".
    struct Change
    {
        const std::string &name;
        const std::string &value;
        std::uint64_t expectedVersion = 0;
    };

    UpdateResult make(const Change &change);
    UpdateResult send(const Change &change);
    UpdateResult readBack(const Change &change, bool &unchanged);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    unsigned m_rounds;
};

} // namespace almondmill
