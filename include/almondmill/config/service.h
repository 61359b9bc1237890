#pragma once

#include <string>
#include <vector>

namespace almondmill {

/// A plain HTTP service; requests are routed to it by path prefix.
struct Service
{
    std::string name;
    std::string pathPrefix; ///< Such as "/booking/"; starts and ends with a slash.
    std::vector<std::string>
            notRepeatable; ///< "METHOD /path/prefix" of calls that must run at most once.

    bool operator==(const Service &) const = default;
};

} // namespace almondmill
