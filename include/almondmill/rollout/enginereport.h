#pragma once

#include "almondmill/directory/registration.h"

#include <cstdint>
#include <vector>

namespace almondmill {

/// State that an engine reports on request.
struct EngineReport
{
    std::vector<ServedModel> models;
    bool isBusy = false;      ///< Whether it is carrying out an order.
    std::uint64_t orders = 0; ///< Orders accepted in this incarnation.
};

} // namespace almondmill
