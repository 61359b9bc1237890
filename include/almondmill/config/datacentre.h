#pragma once

#include <string>

namespace almondmill {

/// A data centre as listed in the inventory.
struct DataCentre
{
    std::string name;
    std::string region;

    bool operator==(const DataCentre &) const = default;
};

} // namespace almondmill
