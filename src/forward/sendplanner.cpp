#include "almondmill/forward/sendplanner.h"

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/servicepace.h"
#include "almondmill/forward/storeretention.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/route/routingtable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace almondmill {

namespace {

/// Engines with outdated weights get no new requests in this last part of the weights deadline, in
/// addition to the time for the prompts that wait there: the load from other routers is known up to
/// a second late, and a request may also have to wait for a slot.
constexpr std::chrono::milliseconds WeightsDeadlineMargin{2500};

/// Answers with outdated weights keep their full value for 1.5 s after a newer version was named;
/// the difference allows for the time until a request starts.
constexpr std::chrono::milliseconds OutdatedWeightsGrace{1300};

/// Lower bound of the target latency; also used for routes that set none.
constexpr std::chrono::milliseconds MinTargetLatency{100};

/// Shorter parts are not announced to the other routers: computing one takes less than 10 ms.
constexpr std::uint32_t MinAnnouncedTokens = 300;

/// The first parts of prompts are cached at many engines. A recent placement of such a part is not
/// announced again within this time, which is well below the time that engines cache unused parts.
constexpr std::chrono::seconds AnnounceInterval{2};

constexpr double BytesPerMegabit = 125000;

/// Routers that decide on the same data change the load of an endpoint in the same way and report
/// the change later. Each peer is expected to have made this share of this router's own change.
constexpr double PeerLoadChangeRatio = 0.25;

std::chrono::milliseconds prefillTime(double tokens, const PerformanceFigures &figures)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            PerformanceFigures::Milliseconds(tokens / figures.prefillTokensPerMs));
}

/// This router's current load on the endpoint and the estimated load of the others.
EndpointLoad knownLoad(const EndpointView &view)
{
    EndpointLoad load = view.load();
    load += view.peerLoad();
    return load;
}

/// Callers leave a stream after this time without an event, or after a multiple of the route's
/// targets if that is longer.
constexpr std::chrono::milliseconds MinCallerPatience{2000};
constexpr int TargetLatenciesOfPatience = 4;
constexpr int TargetGapsOfPatience = 8;

std::chrono::milliseconds callerPatience(const Route &route)
{
    return std::max({MinCallerPatience, TargetLatenciesOfPatience * route.targetLatency,
                     TargetGapsOfPatience * route.targetEventGap});
}

/// Short hash of the address of the KV cache store that the engine saves to; 0 when there is none.
std::uint32_t storeHash(const ForwardingContext &context, const EndpointView &view)
{
    const auto table = context.table.snapshot();
    const KvCacheStore *store =
            table ? table->kvCacheStoreFor(view.registration().dataCentre) : nullptr;
    return store ? shortHash(store->address) : 0;
}

SoonestFirstEvent promptRule(const RoutedRequest &placed, bool prefersLimitedEngines)
{
    const PromptRequest &prompt = *placed.request.prompt;
    SoonestFirstEvent rule;
    rule.sharedPartHash = sharedPartHash(prompt);
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        rule.sharedTokens += prompt.parts[part].tokens;
    rule.ownTokens = std::max(0.0, prompt.promptTokens - rule.sharedTokens);
    rule.outputTokens = prompt.maxOutputTokens;
    rule.targetLatency = std::max(placed.route.targetLatency, MinTargetLatency);
    rule.prefersLimitedEngines = prefersLimitedEngines;
    return rule;
}

/// An endpoint saves the complete prompt, but only the shared parts are ever fetched: they have to
/// make up at least half of it.
bool isWorthSaving(const PromptRequest &prompt)
{
    std::uint32_t shared = 0;
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        shared += prompt.parts[part].tokens;
    return 2 * shared >= prompt.promptTokens;
}

/// Whether the part is expected in the KV cache store, or is on its way there.
bool isExpectedIn(const KvCacheStore &store, const RoutedRequest &placed,
                  const PartLocations::Location *known, SteadyTime now)
{
    const RoutedService *service = placed.table.service(placed.service);
    return known && known->saved && service && service->engine
           && now - known->saved->availableAt < storeRetention(store, *service->engine);
}

/// Keeps parts apart that were computed with other weights or for an isolated client account.
std::string cacheScope(const RoutedRequest &placed, std::uint64_t weightsVersion)
{
    std::string scope = absl::StrCat("w", weightsVersion);
    if (placed.account && placed.account->isolated)
        absl::StrAppend(&scope, "/", placed.account->name);
    else
        absl::StrAppend(&scope, placed.table.sharedCacheScope());
    return scope;
}

/// Longest wait for a permit, as a part of the target latency: the answer takes most of it.
constexpr int PermitWaitDivisor = 4;

/// Whether an endpoint in a state takes another request besides `openRequests`.
struct Admission
{
    std::uint32_t openRequests;

    bool operator()(const Available &) const { return true; }
    bool operator()(const Resuming &state) const { return openRequests < state.maxOpenRequests; }
    bool operator()(const Paused &) const { return false; }
    bool operator()(const Leaving &) const { return false; }
};

/// When an endpoint in a state that withholds requests takes more.
struct ReturnTime
{
    using Result = std::optional<SteadyTime>;

    Result operator()(const Available &) const { return std::nullopt; }
    Result operator()(const Resuming &state) const { return state.nextStepAt; }
    Result operator()(const Paused &state) const { return state.until; }
    Result operator()(const Leaving &) const { return std::nullopt; }
};

bool admits(EndpointView &view, std::uint32_t openRequests, std::uint32_t paceBound,
            SteadyTime bootNow)
{
    view.availability().recordOpenRequests(openRequests, bootNow);
    return std::visit(Admission{openRequests}, view.availability().stateAt(bootNow, paceBound));
}

/// The bound of an endpoint by its index in the service.
std::uint32_t boundAt(const std::vector<std::uint32_t> &bounds, std::size_t index)
{
    return index < bounds.size() ? bounds[index] : NoBound;
}

/// Whether an endpoint neither pauses nor leaves.
bool takesWork(const EndpointView &view, SteadyTime bootNow)
{
    const Availability state = view.availability().stateAt(bootNow);
    return std::holds_alternative<Available>(state) || std::holds_alternative<Resuming>(state);
}

} // namespace

EndpointLoad SendPlanner::expectedPeerLoadChange(const EndpointLoad &now,
                                                 const EndpointLoad &reported) const
{
    const auto others = static_cast<double>(m_context.peers.liveCount());
    const auto change = [&](double current, double average) {
        return std::max(0.0, current - average) * others * PeerLoadChangeRatio;
    };
    return {change(now.openRequests, reported.openRequests),
            change(now.pendingPrefillTokens, reported.pendingPrefillTokens),
            change(now.heldTokens, reported.heldTokens)};
}

SendPlanner::SendPlanner(ForwardingContext &context)
    : m_context(context)
    , m_sources(context)
    , m_admission(context)
{}

void SendPlanner::learn(const PartPlacement &placement, SteadyTime now)
{
    const auto view = m_context.endpoints.findByShortHash(placement.endpoint);
    const auto prefillEndsIn = view ? expectedWait(*view, now) : std::chrono::milliseconds(0);
    const std::uint32_t store = view ? storeHash(m_context, *view) : 0;
    m_context.partLocations.recordPlacement(placement, store, prefillEndsIn, now);
}

std::optional<PartKey> SendPlanner::partToLookUp(const RoutedRequest &placed, SteadyTime now) const
{
    if (!m_context.partLookups.usesOwners() || !placed.request.prompt)
        return std::nullopt;
    const auto &parts = placed.request.prompt->parts;
    if (parts.size() < 2 || parts[parts.size() - 2].tokens < MinAnnouncedTokens)
        return std::nullopt;
    const std::string scope = cacheScope(placed, commonWeightsVersion(placed));
    const PartKey part = partKey(scope, parts[parts.size() - 2].id);
    if (wasUsedRecently(part, now))
        return std::nullopt;
    return part;
}

std::uint64_t SendPlanner::commonWeightsVersion(const RoutedRequest &placed) const
{
    std::map<std::uint64_t, std::size_t> counts;
    for (const View &view : m_context.endpoints.ofService(placed.service)) {
        const auto version = view->weightsVersion(placed.request.prompt->model);
        if (version)
            ++counts[*version];
    }
    const auto common = std::max_element(
            counts.begin(), counts.end(),
            [](const auto &first, const auto &second) { return first.second < second.second; });
    return common == counts.end() ? 0 : common->first;
}

SendPlanner::View SendPlanner::pick(const RoutedRequest &placed, const std::vector<View> &tried,
                                    const ClockTimes &now) const
{
    const Selection selection = select(placed, tried, now);
    for (const View &view : selection.withheld)
        view->availability().recordWithheld();
    const std::vector<View> &views = selection.selectable;
    std::vector<EndpointCandidate> candidates;
    std::vector<VersionedParts> known;
    candidates.reserve(views.size());
    for (const View &view : views)
        candidates.push_back(makeCandidate(placed, *view, known, now));
    PlacementRule rule = LeastExpectedTime{hash64(placed.request.id)};
    if (placed.request.prompt)
        rule = promptRule(placed, prefersLimitedEngines(placed));
    const auto chosen = chooseEndpoint(rule, candidates);
    return chosen ? views[*chosen] : nullptr;
}

bool SendPlanner::prefersLimitedEngines(const RoutedRequest &placed) const
{
    const auto preference = m_context.permitPreferences.find(placed.service);
    double permits = 0;
    for (const View &view : limitedEndpoints(placed))
        permits += m_context.rateLimits.perSecond(view->incarnation()).value_or(0);
    if (permits == 0 || preference == m_context.permitPreferences.end())
        return true;
    const auto routers = static_cast<double>(m_context.peers.routerCount());
    return preference->second.isPreferred(placed.request.prompt->promptTokens, permits / routers);
}

SendPlanner::Selection SendPlanner::select(const RoutedRequest &placed,
                                           const std::vector<View> &tried,
                                           const ClockTimes &now) const
{
    Selection selection;
    std::vector<View> lastResort;
    const auto bounds = paceBounds(placed, now);
    const auto &views = m_context.endpoints.ofService(placed.service);
    for (std::size_t index = 0; index < views.size(); ++index) {
        const View &view = views[index];
        const bool wasTried = std::find(tried.begin(), tried.end(), view) != tried.end();
        if (wasTried || !isUsable(placed, *view, now.steady))
            continue;
        const bool hasPermits = !m_context.rateLimits.withheldUntil(view->incarnation(), now.boot);
        if (hasPermits && admits(*view, view->openRequests(), boundAt(bounds, index), now.boot))
            selection.selectable.push_back(view);
        else if (hasPermits && isLastResort(*view, now))
            lastResort.push_back(view);
        else
            selection.withheld.push_back(view);
    }
    if (selection.selectable.empty())
        selection.selectable = std::move(lastResort);
    else
        selection.withheld.insert(selection.withheld.end(), lastResort.begin(), lastResort.end());
    return selection;
}

std::vector<std::uint32_t> SendPlanner::paceBounds(const RoutedRequest &placed,
                                                   const ClockTimes &now) const
{
    const auto &views = m_context.endpoints.ofService(placed.service);
    const bool isAnyPaced = std::any_of(views.begin(), views.end(), [&](const View &view) {
        return view->availability().pace().isInForce(now.boot);
    });
    if (!isAnyPaced)
        return {};
    std::vector<std::size_t> indexes;
    std::vector<PacedCandidate> candidates;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const EndpointView &view = *views[index];
        if (!isUsable(placed, view, now.steady) || !takesWork(view, now.boot))
            continue;
        const EndpointPace &pace = view.availability().pace();
        indexes.push_back(index);
        candidates.push_back({&pace, std::max(view.registration().slots, 1U),
                              pace.isInForce(now.boot)
                                      ? m_context.routerPlaces.placeFor(view.incarnation())
                                      : RouterPlace()});
    }
    const auto paced = pacedBounds(candidates, now.boot);
    std::vector<std::uint32_t> bounds(views.size(), NoBound);
    for (std::size_t candidate = 0; candidate < indexes.size(); ++candidate)
        bounds[indexes[candidate]] = paced[candidate];
    return bounds;
}

bool SendPlanner::isLastResort(const EndpointView &view, const ClockTimes &now) const
{
    const Availability state = view.availability().stateAt(now.boot);
    return std::holds_alternative<Leaving>(state)
           && !view.availability().isPastDrainDeadline(m_context.settings.drainDeadline, now.boot);
}

bool SendPlanner::maySend(const RoutedRequest &placed, EndpointView &view,
                          const std::vector<View> &tried, const ClockTimes &now) const
{
    if (!view.takesRequests())
        return false;
    const auto &views = m_context.endpoints.ofService(placed.service);
    const auto found = std::find_if(views.begin(), views.end(),
                                    [&](const View &other) { return other.get() == &view; });
    const auto bounds = paceBounds(placed, now);
    const std::uint32_t bound = boundAt(bounds, static_cast<std::size_t>(found - views.begin()));
    const bool isAllowed = admits(view, view.openRequests() - 1, bound, now.boot)
                           || (isLastResort(view, now) && !canPick(placed, tried, now));
    if (!isAllowed)
        view.availability().recordWithheld();
    return isAllowed;
}

bool SendPlanner::canPick(const RoutedRequest &placed, const std::vector<View> &tried,
                          const ClockTimes &now) const
{
    return !select(placed, tried, now).selectable.empty();
}

std::optional<SteadyTime> SendPlanner::earliestReturn(const RoutedRequest &placed,
                                                      const ClockTimes &now) const
{
    std::optional<SteadyTime> earliest;
    const auto bounds = paceBounds(placed, now);
    const auto &views = m_context.endpoints.ofService(placed.service);
    for (std::size_t index = 0; index < views.size(); ++index) {
        const View &view = views[index];
        if (!isUsable(placed, *view, now.steady))
            continue;
        const auto withheldUntil =
                m_context.rateLimits.withheldUntil(view->incarnation(), now.boot);
        const bool isAdmitted =
                admits(*view, view->openRequests(), boundAt(bounds, index), now.boot);
        if (isAdmitted && !withheldUntil)
            return std::nullopt;
        auto returnsAt = std::visit(ReturnTime(), view->availability().stateAt(now.boot));
        if (withheldUntil)
            returnsAt = std::max(returnsAt.value_or(*withheldUntil), *withheldUntil);
        if (returnsAt && !view->availability().isLeaving())
            earliest = std::min(earliest.value_or(*returnsAt), *returnsAt);
    }
    return earliest;
}

bool SendPlanner::needsPermit(const EndpointView &view) const
{
    return m_context.rateLimits.perSecond(view.incarnation()).has_value();
}

std::optional<std::chrono::milliseconds> SendPlanner::excessWait(const RoutedRequest &placed,
                                                                 const EndpointView &view,
                                                                 const ClockTimes &now) const
{
    if (!placed.request.prompt)
        return std::nullopt;
    const double pending = knownLoad(view).pendingPrefillTokens;
    const auto wait = m_admission.expectedWait(placed, now)
                      + prefillTime(pending, figuresOf(view, now.steady));
    const auto excess = wait - callerPatience(placed.route);
    return excess > std::chrono::milliseconds(0) ? std::optional(excess) : std::nullopt;
}

bool SendPlanner::isOverloaded(const RoutedRequest &placed, const ClockTimes &now) const
{
    return m_admission.longestWait(placed.service, now).count() > 0;
}

std::vector<SendPlanner::View> SendPlanner::fullEndpoints(const RoutedRequest &placed) const
{
    std::vector<View> full;
    for (const View &view : m_context.endpoints.ofService(placed.service)) {
        if (knownLoad(*view).openRequests >= view->registration().slots)
            full.push_back(view);
    }
    return full;
}

std::chrono::milliseconds SendPlanner::expectedWait(const EndpointView &view, SteadyTime now) const
{
    const EndpointLoad load = knownLoad(view);
    const PerformanceFigures figures = figuresOf(view, now);
    const std::uint32_t slots = std::max(view.registration().slots, 1U);
    const double overSlots = std::max(0.0, load.openRequests + 1 - slots);
    const auto slotWait = std::chrono::duration_cast<std::chrono::milliseconds>(
            figures.residence * (overSlots / slots));
    return prefillTime(load.pendingPrefillTokens, figures) + slotWait;
}

PerformanceFigures SendPlanner::figuresOf(const EndpointView &view, SteadyTime now) const
{
    const Registration &entry = view.registration();
    const auto &service = m_context.performances.of(entry.service, entry.slots);
    return view.performance().figures(service, now);
}

ExpectedWork SendPlanner::expectedWork(const RoutedRequest &placed, const EndpointView &view,
                                       const ClockTimes &now) const
{
    const EndpointLoad load = knownLoad(view);
    ExpectedWork work;
    // The request itself is counted already.
    work.startsAtOnce = load.openRequests <= view.registration().slots;
    if (!placed.request.prompt)
        return work;
    const SoonestFirstEvent rule = promptRule(placed, true);
    const auto version = view.weightsVersion(placed.request.prompt->model).value_or(0);
    const auto longest =
            m_sources.longestSharedPart(placed, cacheScope(placed, version), version, now);
    const bool isCached = longest.holder == shortHash(view.id());
    const bool isFetched = !isCached && longest.canFetch;
    work.computedTokens = rule.ownTokens + (isCached || isFetched ? 0 : rule.sharedTokens);
    work.fetchedTokens = isFetched ? rule.sharedTokens : 0;
    work.startsAtOnce = work.startsAtOnce && load.pendingPrefillTokens < work.computedTokens;
    return work;
}

std::vector<SendPlanner::View> SendPlanner::limitedEndpoints(const RoutedRequest &placed) const
{
    std::vector<View> limited;
    for (const View &view : m_context.endpoints.ofService(placed.service)) {
        if (needsPermit(*view))
            limited.push_back(view);
    }
    return limited;
}

std::chrono::milliseconds SendPlanner::longestPermitWait(const RoutedRequest &placed,
                                                         const std::vector<View> &tried,
                                                         const ClockTimes &now) const
{
    std::vector<View> excluded = limitedEndpoints(placed);
    excluded.insert(excluded.end(), tried.begin(), tried.end());
    if (canPick(placed, excluded, now))
        return std::chrono::milliseconds(0);
    return placed.route.targetLatency / PermitWaitDivisor;
}

std::optional<double> SendPlanner::ownPartOfLimits(const RoutedRequest &placed,
                                                   const ClockTimes &now) const
{
    double sum = 0;
    const auto bounds = paceBounds(placed, now);
    const auto &views = m_context.endpoints.ofService(placed.service);
    for (std::size_t index = 0; index < views.size(); ++index) {
        const View &view = views[index];
        if (!isUsable(placed, *view, now.steady))
            continue;
        const auto perSecond = m_context.rateLimits.perSecond(view->incarnation());
        if (!perSecond && admits(*view, view->openRequests(), boundAt(bounds, index), now.boot))
            return std::nullopt;
        sum += perSecond.value_or(0);
    }
    if (sum == 0)
        return std::nullopt;
    return sum / static_cast<double>(m_context.peers.routerCount());
}

bool SendPlanner::needsNewEndpoint(const RoutedRequest &placed, const ClockTimes &now) const
{
    const auto &views = m_context.endpoints.ofService(placed.service);
    return std::all_of(views.begin(), views.end(), [&](const View &view) {
        return view->availability().isLeaving() || !isUsable(placed, *view, now.steady);
    });
}

bool SendPlanner::hasSoftware(const RoutedRequest &placed) const
{
    const auto &views = m_context.endpoints.ofService(placed.service);
    return std::any_of(views.begin(), views.end(),
                       [&](const View &view) { return canContinue(placed, *view); });
}

bool SendPlanner::canContinue(const RoutedRequest &placed, const EndpointView &view)
{
    const auto &software = placed.request.software;
    return view.takesRequests() && (!software || *software == view.software());
}

bool SendPlanner::isUsable(const RoutedRequest &placed, const EndpointView &view,
                           SteadyTime now) const
{
    if (!canContinue(placed, view))
        return false;
    if (!placed.request.prompt)
        return true;
    const auto version = view.weightsVersion(placed.request.prompt->model);
    if (!version)
        return false;
    const auto outdatedSince =
            m_context.weights.outdatedSince(placed.request.prompt->model, *version);
    const auto lastStart = m_context.settings.weightsDeadline - WeightsDeadlineMargin;
    return !outdatedSince || now + expectedWait(view, now) < *outdatedSince + lastStart;
}

EndpointCandidate SendPlanner::makeCandidate(const RoutedRequest &placed, const EndpointView &view,
                                             std::vector<VersionedParts> &known,
                                             const ClockTimes &now) const
{
    const std::uint32_t endpointHash = shortHash(view.id());
    EndpointCandidate candidate;
    candidate.idHash = hash64(view.id());
    candidate.slots = std::max(view.registration().slots, 1U);
    candidate.load = knownLoad(view);
    candidate.peerRequests = view.peerLoad().openRequests;
    candidate.load += expectedPeerLoadChange(view.load(), view.lastAverage());
    const PerformanceFigures figures = figuresOf(view, now.steady);
    candidate.prefillTokensPerMs = figures.prefillTokensPerMs;
    candidate.fetchedTokensPerMs = figures.fetchedTokensPerMs;
    candidate.slotWait = figures.residence / candidate.slots;
    candidate.latency = view.health().latency();
    candidate.failureShare = view.health().failureShare(now.steady);
    candidate.isAvoided = view.health().isAvoided(now.steady);
    candidate.isLoading =
            now.steady < view.loadingUntil() || m_context.peers.isLoading(endpointHash, now.steady);
    candidate.isRateLimited = needsPermit(view);
    candidate.isLocal = view.registration().dataCentre == m_context.settings.dataCentre;
    if (!placed.request.prompt)
        return candidate;
    const RoutedService *service = placed.table.service(placed.service);
    if (service && service->engine)
        candidate.memoryTokens = static_cast<double>(service->engine->memoryTokens);
    const auto version = view.weightsVersion(placed.request.prompt->model).value_or(0);
    const auto outdatedSince =
            m_context.weights.outdatedSince(placed.request.prompt->model, version);
    candidate.hasOutdatedWeights =
            outdatedSince && now.steady >= *outdatedSince + OutdatedWeightsGrace;
    const PartSources::LongestSharedPart &longest = longestSharedPart(placed, version, known, now);
    candidate.hasSharedParts = longest.holder == endpointHash;
    candidate.canFetchParts = longest.canFetch;
    return candidate;
}

const PartSources::LongestSharedPart &
SendPlanner::longestSharedPart(const RoutedRequest &placed, std::uint64_t weightsVersion,
                               std::vector<VersionedParts> &known, const ClockTimes &now) const
{
    for (const VersionedParts &entry : known) {
        if (entry.weightsVersion == weightsVersion)
            return entry.longest;
    }
    const std::string scope = cacheScope(placed, weightsVersion);
    known.push_back(
            {weightsVersion, m_sources.longestSharedPart(placed, scope, weightsVersion, now)});
    return known.back().longest;
}

AttemptParameters SendPlanner::planAttempt(const RoutedRequest &placed, const EndpointView &view,
                                           std::chrono::milliseconds timeLeft,
                                           const ClockTimes &now)
{
    AttemptParameters send;
    send.endpointId = view.id();
    send.timeLeft = timeLeft;
    send.resumeAfter = placed.request.resumeAfter;
    if (placed.account)
        send.account = placed.account->name;
    if (!placed.request.prompt)
        return send;
    const PromptRequest &prompt = *placed.request.prompt;
    const std::uint64_t version = view.weightsVersion(prompt.model).value_or(0);
    send.weightsVersion = version;
    send.cacheScope = cacheScope(placed, version);
    send.enginePriority = placed.table.urgency().levelOf(placed.route, placed.account);
    planCache(placed, view, send, now);
    return send;
}

bool SendPlanner::wasUsedRecently(PartKey part, SteadyTime now) const
{
    const auto *known = m_context.partLocations.find(part);
    return known && now - known->current.lastUsedAt < AnnounceInterval;
}

void SendPlanner::planCache(const RoutedRequest &placed, const EndpointView &view,
                            AttemptParameters &send, const ClockTimes &now)
{
    const PromptRequest &prompt = *placed.request.prompt;
    const auto &parts = prompt.parts;
    if (parts.size() < 2)
        return;
    const std::uint32_t endpointHash = shortHash(view.id());
    const KvCacheStore *store = placed.table.kvCacheStoreFor(view.registration().dataCentre);
    const PartKey longest = partKey(send.cacheScope, parts[parts.size() - 2].id);
    const auto *known = m_context.partLocations.find(longest);
    send.fetchFrom =
            m_sources.addressFor(placed, send.cacheScope, *send.weightsVersion, view.id(), now);
    const bool isSaved = store && isExpectedIn(*store, placed, known, now.steady);
    if (store && !isSaved && isWorthSaving(prompt) && takeSaveBudget(placed, now.steady))
        send.saveTo = store->address;
    m_sources.recordPromptSent(placed, known && known->current.endpoint == endpointHash,
                               now.steady);
    recordPlacements(placed, view, send, now.steady);
}

void SendPlanner::recordPlacements(const RoutedRequest &placed, const EndpointView &view,
                                   const AttemptParameters &send, SteadyTime now)
{
    const auto &parts = placed.request.prompt->parts;
    const std::uint32_t endpointHash = shortHash(view.id());
    const KvCacheStore *store = placed.table.kvCacheStoreFor(view.registration().dataCentre);
    const std::uint32_t savedTo = store ? shortHash(store->address) : 0;
    const auto prefillEndsIn =
            expectedWait(view, now)
            + prefillTime(placed.request.prompt->promptTokens, figuresOf(view, now));
    const bool saves = !send.saveTo.empty();
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
        const PartPlacement placement{partKey(send.cacheScope, parts[part].id), endpointHash,
                                      saves};
        const bool isLongest = part + 2 == parts.size();
        const bool isAnnounced = isLongest || !wasUsedRecently(placement.part, now);
        m_context.partLocations.recordPlacement(placement, savedTo, prefillEndsIn, now);
        if (isAnnounced && parts[part].tokens >= MinAnnouncedTokens)
            announce(placement, isLongest);
    }
}

void SendPlanner::announce(const PartPlacement &placement, bool isLongest)
{
    if (isLongest && m_context.partLookups.usesOwners())
        m_context.partLookups.report(placement);
    else
        m_context.placements.add(placement, m_context.peers.routerCount());
}

bool SendPlanner::takeSaveBudget(const RoutedRequest &placed, SteadyTime now)
{
    const RoutedService *service = placed.table.service(placed.service);
    if (!service || !service->engine)
        return false;
    const double bytes = static_cast<double>(placed.request.prompt->promptTokens)
                         * static_cast<double>(service->engine->bytesPerToken);
    const auto routers = static_cast<double>(m_context.peers.routerCount());
    const double share =
            placed.table.kvCacheMegabitsPerSecond() * BytesPerMegabit * SaveLinkRatio / routers;
    return m_saveBudget.take(bytes, share, now);
}

} // namespace almondmill
