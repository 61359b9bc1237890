#pragma once

#include "almondmill/store/storedobject.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

/// There is no object of that name.
struct Absent
{};

/// The platform gave no answer that can be used.
struct Unavailable
{
    std::string reason;
};

using ReadResult = std::variant<StoredObject, Absent, Unavailable>;

/// Objects whose names start with the prefix asked for, and the store's revision at that moment.
struct ObjectList
{
    std::vector<StoredObject> objects;
    std::uint64_t revision = 0;
};

using ListResult = std::variant<ObjectList, Unavailable>;

/// Names changed after the revision asked for; empty when the wait ran out.
struct ObjectChanges
{
    std::vector<std::string> names;
    std::uint64_t revision = 0;
};

using WatchResult = std::variant<ObjectChanges, Unavailable>;

} // namespace almondmill
