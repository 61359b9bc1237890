#pragma once

#include "almondmill/directory/registration.h"

#include <cstdint>
#include <vector>

namespace almondmill {

/// What an engine tells of itself on request.
struct EngineReport
{
    std::vector<ServedModel> models;
    bool isBusy = false;      ///< An order is being carried out.
    std::uint64_t orders = 0; ///< Orders accepted in this lifetime.
};

} // namespace almondmill
