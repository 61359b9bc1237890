#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// An object as the platform's object API holds it.
struct StoredObject
{
    std::string name;
    std::string value;
    std::uint64_t version = 0; ///< Grows with each update of this object.
};

} // namespace almondmill
