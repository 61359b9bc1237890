#pragma once

#include "almondmill/config/configuration.h"
#include "almondmill/endpoint/endpointstate.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// A configuration and the states of its endpoints; immutable except for the atomics in the states.
/// A request holds one set from its start to its end.
class EndpointSet
{
public:
    using StatePointer = std::shared_ptr<EndpointState>;
    using States = std::vector<StatePointer>;

    /// Reuses the state of every endpoint whose entry is unchanged since `previous`, and copies the
    /// status of an endpoint whose entry changed but kept its name and address.
    EndpointSet(std::shared_ptr<const Configuration> configuration, const EndpointSet *previous);

    const Configuration &configuration() const { return *m_configuration; }
    const States &all() const { return m_all; }

    /// Endpoints that serve the model, or an empty list. Constant cost.
    const States &forModel(const std::string &model) const;

    /// Endpoints of the plain service, or an empty list. Constant cost.
    const States &forService(const std::string &service) const;

private:
    using Groups = absl::flat_hash_map<std::string, States>;

    static const States &find(const Groups &groups, const std::string &name);

    std::shared_ptr<const Configuration> m_configuration;
    States m_all;
    Groups m_byModel;
    Groups m_byService;
};

} // namespace almondmill
