#pragma once

#include "almondmill/admission/fairshares.h"
#include "almondmill/admission/serviceload.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace almondmill {

/// This router's open requests at the endpoints of each service, by level of urgency, and the
/// demand of the accounts for it.
class OpenRequests
{
public:
    struct Service
    {
        ServiceLoad::ByLevel open{};
        ServiceLoad::ByLevel average{}; ///< Over about one second, as the peers are told.
        FairShares shares;
    };

    /// The reference stays valid.
    Service &of(const std::string &service) { return m_services[service]; }
    const std::map<std::string, Service> &all() const { return m_services; }

    void updateAverages(SteadyTime now);

private:
    std::map<std::string, Service> m_services;
    SteadyTime m_averagedAt;
};

/// Counts an open request for as long as this object exists.
class OpenRequestCount
{
public:
    OpenRequestCount(OpenRequests::Service &service, std::size_t level);
    ~OpenRequestCount();
    OpenRequestCount(const OpenRequestCount &) = delete;
    OpenRequestCount &operator=(const OpenRequestCount &) = delete;

private:
    double &m_open;
};

} // namespace almondmill
