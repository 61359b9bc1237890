#pragma once

#include "almondmill/forward/endpointcandidate.h"
#include "almondmill/forward/endpointsend.h"
#include "almondmill/forward/partsources.h"
#include "almondmill/forward/savebudget.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

class EndpointView;
class RoutingTable;
struct CallerRequest;
struct ForwardingContext;
struct KeptCache;
struct KeyedAccount;
struct Route;

/// One request as far as placement goes.
struct PlacedRequest
{
    const CallerRequest &request;
    const RoutingTable &table;
    const Route &route;
    const KeyedAccount *account; ///< Null on public routes.
    const std::string &service;
};

/// Decides where a request goes next and what is sent with it.
class SendPlanner
{
public:
    using View = std::shared_ptr<EndpointView>;

    explicit SendPlanner(ForwardingContext &context);

    /// The endpoint for the next attempt, none of `tried`; null when there is none.
    View pick(const PlacedRequest &placed, const std::vector<View> &tried, SteadyTime now) const;

    /// What the router adds to the request for that endpoint.
    EndpointSend planSend(const PlacedRequest &placed, const EndpointView &view,
                          std::chrono::milliseconds timeLeft, SteadyTime now);

    /// Takes over where another router sent a prompt part.
    void learn(const PartPlacement &placement, SteadyTime now);

private:
    /// What is known of a prompt's shared parts under one version of the weights.
    struct VersionedParts
    {
        std::uint64_t weightsVersion = 0;
        PartSources::Longest longest;
    };

    bool isUsable(const PlacedRequest &placed, const EndpointView &view, SteadyTime now) const;
    EndpointCandidate describe(const PlacedRequest &placed, const EndpointView &view,
                               std::vector<VersionedParts> &known, SteadyTime now) const;
    const PartSources::Longest &longestPart(const PlacedRequest &placed,
                                            std::uint64_t weightsVersion,
                                            std::vector<VersionedParts> &known,
                                            SteadyTime now) const;

    /// What the other routers added to an endpoint's load and have not told yet, going by this one.
    EndpointLoad expectedChange(const EndpointLoad &now, const EndpointLoad &told) const;

    void planCache(const PlacedRequest &placed, const EndpointView &view, EndpointSend &send,
                   SteadyTime now);
    bool wasUsedLately(PartKey part, SteadyTime now) const;
    bool maySave(const PlacedRequest &placed, const KeptCache &kept, SteadyTime now);

    ForwardingContext &m_context;
    PartSources m_sources;
    SaveBudget m_saves;
};

} // namespace almondmill
