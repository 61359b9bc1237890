#pragma once

#include "almondmill/config/datacentre.h"
#include "almondmill/config/endpoint.h"
#include "almondmill/config/model.h"
#include "almondmill/config/service.h"

#include <vector>

namespace almondmill {

/// The data centres, models, services and endpoints of the fleet. Operators generate it from their
/// asset register.
struct Inventory
{
    std::vector<DataCentre> dataCentres;
    std::vector<Model> models;
    std::vector<Service> services;
    std::vector<Endpoint> endpoints;

    bool operator==(const Inventory &) const = default;
};

} // namespace almondmill
