#include "almondmill/placement/placer.h"

#include "almondmill/config/configuration.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/candidateset.h"

namespace almondmill {

namespace {

constexpr std::size_t SharedPrefixEntries = 65536;
constexpr std::chrono::milliseconds AdviceLifetime{100};
constexpr const char *FallbackPolicyName = "rendezvous";

std::map<std::string, std::unique_ptr<PlacementPolicy>> allPolicies()
{
    std::map<std::string, std::unique_ptr<PlacementPolicy>> policies;
    for (const std::string &name : PlacementRegistry::names())
        policies.emplace(name, PlacementRegistry::create(name));
    return policies;
}

PolicyInput policyInputOf(const PlacementRequest &request, std::size_t level)
{
    return PolicyInput{request.prefixKeys, level, request.priority};
}

} // namespace

Placer::Placer(const Node &node, Metrics &metrics)
    : m_node(node)
    , m_policies(allPolicies())
    , m_fallbackPolicy(*m_policies.at(FallbackPolicyName))
    , m_shared(SharedPrefixEntries)
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
        return m_fallbackPolicy;
    const auto found = m_policies.find(request.configuration->rules().placementPolicy);
    return found == m_policies.end() ? m_fallbackPolicy : *found->second;
}

EndpointSet::StatePointer Placer::choose(const PlacementRequest &request,
                                         const EndpointSet::States &states,
                                         const std::set<std::string> &excluded, SteadyTime now)
{
    const SharedPrefixes::Level level = m_shared.record(request.prefixKeys, now);
    PlacementPolicy *policy = &policyFor(request);
    std::optional<CachedLocation> advised;
    if (policy->usesPrefixOwners()) {
        const auto answer =
                m_lookup.find(request, level, excluded, m_node.members, m_node.placementPeers, now);
        advised = answer.advised;
        if (!answer.ownedHere)
            policy = &m_fallbackPolicy;
    }
    const CandidateSet candidateSet(request, states, excluded, now);
    std::optional<PlacementChoice> choice;
    if (const auto index = advised ? candidateSet.indexOf(*advised) : std::nullopt)
        choice = PlacementChoice{*index, 0, candidateSet.state(*index)->queue().meanWork()};
    else
        choice =
                policy->choose(policyInputOf(request, level.depth), candidateSet.candidates(), now);
    if (!choice)
        return nullptr;
    const auto &state = candidateSet.state(choice->index);
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
    const SharedPrefixes::Level level = m_shared.record(request.prefixKeys, now);
    const CandidateSet candidateSet(request, endpoints->forModel(query.model), excluded, now);
    const auto choice = policyFor(request).choose(policyInputOf(request, level.depth),
                                                  candidateSet.candidates(), now);
    if (!choice)
        return {};
    const auto &state = candidateSet.state(choice->index);
    state->queue().add(choice->work, request.priority, now);
    return PlacementAdvice{state->endpoint().name,
                           candidateSet.candidates()[choice->index].incarnation,
                           choice->cachedBlocks, AdviceLifetime};
}

void Placer::observe(const PlacementRequest &request, const PlacementOutcome &outcome,
                     SteadyTime now)
{
    policyFor(request).observe(policyInputOf(request, 0), outcome, now);
}

} // namespace almondmill
