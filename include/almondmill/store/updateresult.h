#pragma once

#include "almondmill/store/storedobject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace almondmill {

/// The change took effect; the object now has this version.
struct Applied
{
    std::uint64_t version = 0;
};

/// The condition did not hold; nothing changed. `current` is what stands there, if anything.
struct Conflict
{
    std::optional<StoredObject> current;
};

/// The change certainly did not take effect: the request never left, or the platform refused it.
struct NotApplied
{
    std::string reason;
};

/// The request may have left, and no answer came: the change may or may not have taken effect.
struct OutcomeUnknown
{
    std::string reason;
};

using UpdateResult = std::variant<Applied, Conflict, NotApplied, OutcomeUnknown>;

} // namespace almondmill
