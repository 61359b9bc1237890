#pragma once

#include "almondmill/store/storedobject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace almondmill {

/// The update took effect; the object now has this version.
struct Applied
{
    std::uint64_t version = 0;
};

/// The condition of the update did not hold, so nothing changed. `current` is the stored object, if
/// one exists and the platform returned it.
struct Conflict
{
    std::optional<StoredObject> current;
};

/// The update did not take effect: the request was not sent, or the platform rejected it.
struct NotApplied
{
    std::string reason;
};

/// The request may have been sent, but no usable answer was received: the update may or may not
/// have taken effect.
struct OutcomeUnknown
{
    std::string reason;
};

using UpdateResult = std::variant<Applied, Conflict, NotApplied, OutcomeUnknown>;

} // namespace almondmill
