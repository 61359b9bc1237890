#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// An immutable, content-addressed part of a configuration.
struct ConfigurationPart
{
    std::string hash; ///< Hash of `content`.
    std::string content;
};

/// An accepted configuration as routers exchange it: the root and the parts that the receiver did
/// not list as already present.
struct ConfigurationOffer
{
    std::uint64_t version = 0;      ///< Zero if the sender has no newer configuration.
    std::uint64_t storeVersion = 0; ///< Version of the root object in the object API.
    std::string root;
    std::vector<ConfigurationPart> parts;
};

} // namespace almondmill
