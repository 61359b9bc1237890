#pragma once

#include "almondmill/directory/endpointdirectory.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

class EndpointView;

/// The views of all registered endpoints, by service. Follows the directory.
class EndpointViews
{
public:
    using View = std::shared_ptr<EndpointView>;

    /// To be given to the directory as its observer.
    void changed(const RegistrationChange &change);

    /// Endpoints of that service, draining ones included.
    const std::vector<View> &ofService(std::string_view service) const;

    const absl::flat_hash_map<std::string, View> &all() const { return m_byId; }

    /// Null when there is no endpoint of that id.
    View find(std::string_view id) const;

    /// The same by the short hash of the id.
    View findShort(std::uint32_t hash) const;

private:
    void add(View view);
    void drop(const std::string &id);

    absl::flat_hash_map<std::string, View> m_byId;
    absl::flat_hash_map<std::uint32_t, View> m_byHash;
    absl::flat_hash_map<std::string, std::vector<View>> m_byService;
};

} // namespace almondmill
