#pragma once

#include "almondmill/directory/endpointdirectory.h"
#include "almondmill/forward/availabilityrecords.h"
#include "almondmill/forward/softwarehistory.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

class EndpointView;

/// The views of all registered endpoints, by id and by service. Kept up to date by the directory.
class EndpointViews
{
public:
    using View = std::shared_ptr<EndpointView>;

    /// Observer for the directory; applies one change.
    void changed(const RegistrationChange &change);

    /// Endpoints of `service`, including draining ones.
    const std::vector<View> &ofService(std::string_view service) const;

    const absl::flat_hash_map<std::string, View> &all() const { return m_byId; }

    /// The endpoints of each service, including draining ones.
    const absl::flat_hash_map<std::string, std::vector<View>> &byService() const
    {
        return m_byService;
    }

    /// The software that the endpoints of each service have run lately.
    const SoftwareHistory &softwareHistory() const { return m_softwareHistory; }

    /// Null when no endpoint has that id.
    View find(std::string_view id) const;

    /// Finds an endpoint by the hash of its incarnation; null when there is none.
    View findByIncarnation(std::uint64_t incarnation) const;

    /// Finds an endpoint by the short hash of its id; null when there is none.
    View findByShortHash(std::uint32_t hash) const;

private:
    /// When the incarnation was first seen, if it may have just started.
    std::optional<SteadyTime> newSince(const Registration &registration);
    void add(View view);
    void remove(const std::string &id);

    AvailabilityRecords m_availability;
    SoftwareHistory m_softwareHistory;
    absl::flat_hash_map<std::string, SteadyTime>
            m_servicesSince; ///< First seen, on the boot clock.
    absl::flat_hash_map<std::string, View> m_byId;
    absl::flat_hash_map<std::uint32_t, View> m_byHash;
    absl::flat_hash_map<std::string, std::vector<View>> m_byService;
};

} // namespace almondmill
