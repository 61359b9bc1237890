#pragma once

#include "almondmill/config/configuration.h"
#include "almondmill/endpoint/endpointstate.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// One configuration in force and the endpoints that belong to it; immutable but for the states'
/// own atomics. A request holds one for its whole life.
class EndpointSet
{
public:
    using StatePointer = std::shared_ptr<EndpointState>;
    using States = std::vector<StatePointer>;

    /// Takes over from `previous` the state of every endpoint whose entry keeps name and address.
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
