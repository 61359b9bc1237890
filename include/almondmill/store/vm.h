#pragma once

#include <string>

namespace almondmill {

/// A VM as the platform's lagging list shows it.
struct Vm
{
    std::string address; ///< "IP", or "IP:port" where several share a machine in tests.
    bool leaving = false;
};

} // namespace almondmill
