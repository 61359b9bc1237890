#pragma once

#include <string>

namespace almondmill {

/// A VM in the platform's VM list, which may be out of date.
struct Vm
{
    std::string address; ///< "IP", or "IP:port" where several share a host in tests.
    bool leaving = false;
};

} // namespace almondmill
