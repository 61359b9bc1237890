#include "almondmill/forward/serviceperformances.h"

namespace almondmill {

ServicePerformance &ServicePerformances::of(const std::string &service, std::uint32_t slots)
{
    const auto known = m_byService.find(service);
    if (known != m_byService.end())
        return known->second;
    return m_byService.emplace(service, initialFigures(nullptr, slots)).first->second;
}

} // namespace almondmill
