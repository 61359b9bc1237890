#pragma once

#include <string>

namespace almondmill {

/// One endpoint as the inventory lists it: it serves either a model or a plain service.
struct Endpoint
{
    std::string name;
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::string model;          ///< Name of the model, or empty.
    std::string service;        ///< Name of the plain service, or empty.
    bool checksFencing = false; ///< Whether it refuses orders with an old fencing number.
    bool leaving = false;       ///< Whether it is to be emptied.

    bool operator==(const Endpoint &) const = default;
};

} // namespace almondmill
