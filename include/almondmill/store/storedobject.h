#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// An object in the platform's object store.
struct StoredObject
{
    std::string name;
    std::string value;
    std::uint64_t version = 0; ///< Increases with each update of this object.
};

} // namespace almondmill
