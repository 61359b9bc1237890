#pragma once

#include <string>

namespace almondmill {

/// An endpoint as listed in the inventory. It serves either a model or a plain service.
struct Endpoint
{
    std::string name;
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::string model;          ///< Name of the model; empty if it serves a service.
    std::string service;        ///< Name of the plain service; empty if it serves a model.
    bool checksFencing = false; ///< Whether it rejects orders with an outdated fencing token.
    bool leaving = false;       ///< Whether operators want it drained.

    bool operator==(const Endpoint &) const = default;
};

} // namespace almondmill
