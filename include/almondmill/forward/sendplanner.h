#pragma once

#include "almondmill/forward/answertiming.h"
#include "almondmill/forward/attemptparameters.h"
#include "almondmill/forward/endpointcandidate.h"
#include "almondmill/forward/partsources.h"
#include "almondmill/forward/requestadmission.h"
#include "almondmill/forward/savebudget.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

class EndpointView;
struct ClockTimes;
class RoutingTable;
struct CallerRequest;
struct ForwardingContext;
struct KeyedAccount;
struct Route;

/// A request with everything that its placement depends on.
struct RoutedRequest
{
    const CallerRequest &request;
    const RoutingTable &table;
    const Route &route;
    const KeyedAccount *account; ///< Null on public routes.
    const std::string &service;
};

/// Selects the endpoint for each attempt of a request and the values that are sent with it.
class SendPlanner
{
public:
    using View = std::shared_ptr<EndpointView>;

    explicit SendPlanner(ForwardingContext &context);

    /// The part whose location is to be looked up before the request is placed; empty when the
    /// prompt shares none or its location is known here.
    std::optional<PartKey> partToLookUp(const RoutedRequest &placed, SteadyTime now) const;

    /// The endpoint for the next attempt, other than those in `tried`; null when there is none.
    View pick(const RoutedRequest &placed, const std::vector<View> &tried,
              const ClockTimes &now) const;

    /// Whether the request that was opened at `view` may still be sent there. `tried` contains
    /// `view`.
    bool maySend(const RoutedRequest &placed, EndpointView &view, const std::vector<View> &tried,
                 const ClockTimes &now) const;

    /// Whether a request to the endpoint needs a permit, because it has a rate limit.
    bool needsPermit(const EndpointView &view) const;

    /// How long a request may wait for a permit: not at all while an endpoint without a limit,
    /// other than those in `tried`, may take it.
    std::chrono::milliseconds longestPermitWait(const RoutedRequest &placed,
                                                const std::vector<View> &tried,
                                                const ClockTimes &now) const;

    /// By how much the wait for a slot of the service and for the prompts at `view` exceeds the
    /// time after which callers leave. Empty when it doesn't.
    std::optional<std::chrono::milliseconds>
    excessWait(const RoutedRequest &placed, const EndpointView &view, const ClockTimes &now) const;

    RequestAdmission &admission() { return m_admission; }

    /// Whether all slots of the request's service are taken as far as known, by all routers.
    bool isOverloaded(const RoutedRequest &placed, const ClockTimes &now) const;

    /// Endpoints of the service without a free slot as far as known.
    std::vector<View> fullEndpoints(const RoutedRequest &placed) const;

    /// Endpoints of the service that have a rate limit.
    std::vector<View> limitedEndpoints(const RoutedRequest &placed) const;

    /// Requests per second that the endpoints with a rate limit take from this router, if all
    /// routers have the same part of them; empty when an endpoint without a limit may take the
    /// request.
    std::optional<double> ownPartOfLimits(const RoutedRequest &placed, const ClockTimes &now) const;

    /// What the endpoint has to do before it sends the first event, if the request is sent there.
    ExpectedWork expectedWork(const RoutedRequest &placed, const EndpointView &view,
                              const ClockTimes &now) const;

    /// The values that the router adds to the request for an attempt at that endpoint.
    AttemptParameters planAttempt(const RoutedRequest &placed, const EndpointView &view,
                                  std::chrono::milliseconds timeLeft, const ClockTimes &now);

    /// Applies another router's report of where it sent a prompt part.
    void learn(const PartPlacement &placement, SteadyTime now);

    /// When the first endpoint of the service that pauses, resumes or has no permits left takes
    /// more requests, on the boot clock. Empty when an endpoint of the service is available or none
    /// will be.
    std::optional<SteadyTime> earliestReturn(const RoutedRequest &placed,
                                             const ClockTimes &now) const;

    /// Whether an endpoint that takes requests runs the software at which the request's stream
    /// began.
    bool hasSoftware(const RoutedRequest &placed) const;

    /// Whether every endpoint that serves the request leaves, so that only a new one could take it.
    bool needsNewEndpoint(const RoutedRequest &placed, const ClockTimes &now) const;

    /// Whether an endpoint other than those in `tried` may take the request.
    bool canPick(const RoutedRequest &placed, const std::vector<View> &tried,
                 const ClockTimes &now) const;

private:
    /// Cached location of a prompt's shared parts under one version of the weights.
    struct VersionedParts
    {
        std::uint64_t weightsVersion = 0;
        PartSources::LongestSharedPart longest;
    };

    /// Endpoints that serve what a request asks for.
    struct Selection
    {
        std::vector<View> selectable;
        std::vector<View> withheld; ///< Left out because of what they stated about themselves.
    };

    /// Endpoints not in `tried`. Leaving ones are selectable only when there are no others and the
    /// drain deadline has not passed.
    Selection select(const RoutedRequest &placed, const std::vector<View> &tried,
                     const ClockTimes &now) const;
    /// Bounds on this router's open requests at each endpoint of the service, in their order (see
    /// pacedBounds); empty when none is paced.
    std::vector<std::uint32_t> paceBounds(const RoutedRequest &placed, const ClockTimes &now) const;
    /// Whether the prompt is one of the largest ones, which are to use the permits of engines with
    /// a rate limit.
    bool prefersLimitedEngines(const RoutedRequest &placed) const;
    /// Time until the endpoint starts a request that is sent now.
    std::chrono::milliseconds expectedWait(const EndpointView &view, SteadyTime now) const;
    PerformanceFigures figuresOf(const EndpointView &view, SteadyTime now) const;
    bool isLastResort(const EndpointView &view, const ClockTimes &now) const;
    bool isUsable(const RoutedRequest &placed, const EndpointView &view, SteadyTime now) const;
    /// Whether the endpoint takes requests and may go on with the request's stream.
    static bool canContinue(const RoutedRequest &placed, const EndpointView &view);
    EndpointCandidate makeCandidate(const RoutedRequest &placed, const EndpointView &view,
                                    std::vector<VersionedParts> &known,
                                    const ClockTimes &now) const;
    const PartSources::LongestSharedPart &longestSharedPart(const RoutedRequest &placed,
                                                            std::uint64_t weightsVersion,
                                                            std::vector<VersionedParts> &known,
                                                            const ClockTimes &now) const;

    /// Estimates, from this router's own change since `reported`, the load that the other routers
    /// have added to an endpoint and not reported yet.
    EndpointLoad expectedPeerLoadChange(const EndpointLoad &now,
                                        const EndpointLoad &reported) const;

    /// The version of the model's weights that most endpoints of the service have; zero when none
    /// has the model.
    std::uint64_t commonWeightsVersion(const RoutedRequest &placed) const;

    /// Decides where the engine fetches the shared parts from and where it saves them to.
    void planCache(const RoutedRequest &placed, const EndpointView &view, AttemptParameters &send,
                   const ClockTimes &now);
    /// Records that the endpoint gets the shared parts, and announces the longer ones.
    void recordPlacements(const RoutedRequest &placed, const EndpointView &view,
                          const AttemptParameters &send, SteadyTime now);
    /// Whether a request with the part was placed within the re-announcement interval.
    bool wasUsedRecently(PartKey part, SteadyTime now) const;
    /// Lets the other routers know where a part was sent.
    void announce(const PartPlacement &placement, bool isLongest);
    /// Takes the prompt's size out of the save budget; false when the budget is exhausted.
    bool takeSaveBudget(const RoutedRequest &placed, SteadyTime now);

    ForwardingContext &m_context;
    PartSources m_sources;
    SaveBudget m_saveBudget;
    RequestAdmission m_admission;
};

} // namespace almondmill
