#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// A router of the fleet as this router sees it.
struct Member
{
    std::string address; ///< "IP:port" of its listener for other routers.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t configVersion = 0; ///< Version in force there by its last report.
    bool leaving = false;
};

} // namespace almondmill
