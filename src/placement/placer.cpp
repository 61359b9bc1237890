#include "almondmill/placement/placer.h"

#include "almondmill/config/configuration.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/offer.h"

namespace almondmill {

namespace {

constexpr std::size_t NotedPrefixes = 65536;
constexpr std::chrono::milliseconds AdviceHoldsFor{100};
constexpr const char *PolicyAlone = "rendezvous";

std::map<std::string, std::unique_ptr<PlacementPolicy>> allPolicies()
{
    std::map<std::string, std::unique_ptr<PlacementPolicy>> policies;
    for (const std::string &name : PlacementRegistry::names())
        policies.emplace(name, PlacementRegistry::create(name));
    return policies;
}

PlacementSubject subjectOf(const PlacementRequest &request, std::size_t level)
{
    return PlacementSubject{request.prefixKeys, level, request.priority};
}

} // namespace

Placer::Placer(const Node &node, Metrics &metrics)
    : m_node(node)
    , m_policies(allPolicies())
    , m_alone(*m_policies.at(PolicyAlone))
    , m_shared(NotedPrefixes)
    , m_lookup(metrics)
{}

Placer::~Placer() = default;

std::size_t Placer::stateBytes() const
{
    std::size_t bytes = m_shared.stateBytes() + m_lookup.stateBytes();
    for (const auto &[name, policy] : m_policies)
        bytes += policy->stateBytes();
    return bytes;
}

PlacementPolicy &Placer::policyFor(const PlacementRequest &request) const
{
    if (!request.configuration)
        return m_alone;
    const auto found = m_policies.find(request.configuration->rules().placementPolicy);
    return found == m_policies.end() ? m_alone : *found->second;
}

EndpointSet::StatePointer Placer::choose(const PlacementRequest &request,
                                         const EndpointSet::States &states,
                                         const std::set<std::string> &excluded, SteadyTime now)
{
    const SharedPrefixes::Level level = m_shared.note(request.prefixKeys, now);
    PlacementPolicy *policy = &policyFor(request);
    std::optional<Home> advised;
    if (policy->hasOwners()) {
        const auto answer =
                m_lookup.find(request, level, excluded, m_node.members, m_node.placementPeers, now);
        advised = answer.home;
        if (!answer.ownedHere)
            policy = &m_alone;
    }
    const Offer offer(request, states, excluded, now);
    std::optional<PlacementChoice> choice;
    if (const auto index = advised ? offer.indexOf(*advised) : std::nullopt)
        choice = PlacementChoice{*index, 0, offer.state(*index)->queue().meanWork()};
    else
        choice = policy->choose(subjectOf(request, level.depth), offer.candidates(), now);
    if (!choice)
        return nullptr;
    const auto &state = offer.state(choice->index);
    state->queue().add(choice->work, request.priority, now);
    return state;
}

PlacementAdvice Placer::advise(const PlacementQuery &query, SteadyTime now)
{
    const auto endpoints = m_node.endpoints.snapshot();
    PlacementRequest request;
    request.prefixKeys = query.prefixKeys;
    request.priority = query.priority;
    request.dataCentre = m_node.settings.dataCentre;
    request.model = query.model;
    request.configuration = &endpoints->configuration();
    const std::set<std::string> excluded(query.excluded.begin(), query.excluded.end());
    const SharedPrefixes::Level level = m_shared.note(request.prefixKeys, now);
    const Offer offer(request, endpoints->forModel(query.model), excluded, now);
    const auto choice =
            policyFor(request).choose(subjectOf(request, level.depth), offer.candidates(), now);
    if (!choice)
        return {};
    const auto &state = offer.state(choice->index);
    state->queue().add(choice->work, request.priority, now);
    return PlacementAdvice{state->endpoint().name, offer.candidates()[choice->index].incarnation,
                           choice->cachedBlocks, AdviceHoldsFor};
}

void Placer::observe(const PlacementRequest &request, const PlacementOutcome &outcome,
                     SteadyTime now)
{
    policyFor(request).observe(subjectOf(request, 0), outcome, now);
}

} // namespace almondmill
