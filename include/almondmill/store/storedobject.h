#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// An object in the platform's object store.
struct StoredObject
{
    std::string name;
    std::string value;
    std::uint64_t version = 0; ///< Revision of its last update; see revision.h.
};

} // namespace almondmill
