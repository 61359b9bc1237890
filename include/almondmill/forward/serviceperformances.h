#pragma once

#include "almondmill/forward/serviceperformance.h"

#include <cstdint>
#include <map>
#include <string>

namespace almondmill {

/// The performance of each service that this router has endpoints of.
class ServicePerformances
{
public:
    /// Begins with the initial figures for endpoints with that number of slots. The reference stays
    /// valid.
    ServicePerformance &of(const std::string &service, std::uint32_t slots);

    const std::map<std::string, ServicePerformance> &all() const { return m_byService; }

private:
    std::map<std::string, ServicePerformance> m_byService;
};

} // namespace almondmill
