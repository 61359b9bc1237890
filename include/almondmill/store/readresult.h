#pragma once

#include "almondmill/store/storedobject.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

/// No object of that name exists.
struct Absent
{
    std::uint64_t era = 0; ///< Of the store; see revision.h.
};

/// The platform gave no answer, or an answer that cannot be used.
struct Unavailable
{
    std::string reason;
};

using ReadResult = std::variant<StoredObject, Absent, Unavailable>;

/// Objects whose names start with the requested prefix, and the store's revision when they were
/// listed.
struct ObjectList
{
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0;
    bool isComplete = true; ///< False when objects may be missing, as the list could not go on.
};

using ListResult = std::variant<ObjectList, Unavailable>;

/// Names of objects changed after the requested revision. Empty when nothing changed before the
/// wait ended.
struct ObjectChanges
{
    std::vector<std::string> names;
    std::uint64_t revision = 0;
};

using WatchResult = std::variant<ObjectChanges, Unavailable>;

} // namespace almondmill
