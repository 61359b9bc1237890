#pragma once

#include "almondmill/store/updateresult.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

class ObjectStore;

/// Updates single objects and, when the answer to an update is lost, reads the object back to find
/// out whether the update took effect. The value must be unique to the writer, for example by
/// containing a new id. If the object is unchanged, the update is retried under the same condition,
/// so that it takes effect at most once.
class UpdateSettler
{
public:
    /// `timeout` applies to each call to the store. A change makes at most 2 + 2 * `rounds` calls:
    /// the first attempt, a read and a retry per round, and a read after a retry that conflicts.
    UpdateSettler(ObjectStore &store, std::chrono::milliseconds timeout, unsigned rounds = 2);

    /// Applied, Conflict and NotApplied are definite. After OutcomeUnknown the change may still
    /// take effect later. Makes one call to the store unless an answer is lost.
    UpdateResult createIfAbsent(const std::string &name, const std::string &value);

    /// Returns the same results as `createIfAbsent`. The result is OutcomeUnknown also if the
    /// object has since been replaced, because the new value does not show whether `value` was
    /// stored before it.
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion);

private:
    /// A change and its condition. Version zero means that no object of that name exists.
    struct Change
    {
        const std::string &name;
        const std::string &value;
        std::uint64_t expectedVersion = 0;
    };

    UpdateResult applyAndSettle(const Change &change);
    UpdateResult send(const Change &change);
    UpdateResult readBack(const Change &change, bool &unchanged);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    unsigned m_rounds;
};

} // namespace almondmill
