#pragma once

#include <string>

namespace almondmill {

/// A data centre as the inventory names it.
struct DataCentre
{
    std::string name;
    std::string region;

    bool operator==(const DataCentre &) const = default;
};

} // namespace almondmill
