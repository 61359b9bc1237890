#pragma once

#include "almondmill/store/readresult.h"
#include "almondmill/store/vm.h"

#include <chrono>
#include <variant>
#include <vector>

namespace almondmill {

using VmListResult = std::variant<std::vector<Vm>, Unavailable>;

/// The platform's list of running and leaving VMs. It is eventually consistent: changes appear with
/// a delay.
class VmList
{
public:
    virtual ~VmList() = default;

    virtual VmListResult vms(std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
