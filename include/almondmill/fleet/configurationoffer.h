#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// One immutable part of a configuration, named by the hash of its content.
struct ConfigurationPart
{
    std::string hash;
    std::string content;
};

/// An accepted configuration as routers hand it to each other: the root and those parts that the
/// receiver did not say it has.
struct ConfigurationOffer
{
    std::uint64_t version = 0;      ///< Zero: the sender has none.
    std::uint64_t storeVersion = 0; ///< Version of the root object in the object API.
    std::string root;
    std::vector<ConfigurationPart> parts;
};

} // namespace almondmill
