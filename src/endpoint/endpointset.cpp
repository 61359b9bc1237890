#include "almondmill/endpoint/endpointset.h"

namespace almondmill {

namespace {

using StatesByName = absl::flat_hash_map<std::string, EndpointSet::StatePointer>;

StatesByName statesByName(const EndpointSet *set)
{
    StatesByName states;
    if (!set)
        return states;
    for (const auto &state : set->all())
        states.emplace(state->endpoint().name, state);
    return states;
}

} // namespace

EndpointSet::EndpointSet(std::shared_ptr<const Configuration> configuration,
                         const EndpointSet *previous)
    : m_configuration(std::move(configuration))
{
    const StatesByName previousStates = statesByName(previous);
    for (const Endpoint &endpoint : m_configuration->inventory().endpoints) {
        const auto found = previousStates.find(endpoint.name);
        const bool unchanged =
                found != previousStates.end() && found->second->endpoint() == endpoint;
        auto state = unchanged ? found->second : std::make_shared<EndpointState>(endpoint);
        if (!unchanged && found != previousStates.end()
            && found->second->endpoint().address == endpoint.address) {
            state->copyStatusFrom(*found->second);
        }
        m_all.push_back(state);
        if (!endpoint.model.empty())
            m_byModel[endpoint.model].push_back(state);
        else
            m_byService[endpoint.service].push_back(state);
    }
}

const EndpointSet::States &EndpointSet::forModel(const std::string &model) const
{
    return find(m_byModel, model);
}

const EndpointSet::States &EndpointSet::forService(const std::string &service) const
{
    return find(m_byService, service);
}

const EndpointSet::States &EndpointSet::find(const Groups &groups, const std::string &name)
{
    static const States none;
    const auto found = groups.find(name);
    return found == groups.end() ? none : found->second;
}

} // namespace almondmill
