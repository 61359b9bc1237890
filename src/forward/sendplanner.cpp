#include "almondmill/forward/sendplanner.h"

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/route/routingtable.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace almondmill {

namespace {

/// The least urgent priority that engines know.
constexpr std::uint32_t LastEnginePriority = 9;

/// Engines behind on weights get no request in this last part of the bound, beside the time in
/// which they read what waits there: what other routers sent is known a second late, and requests
/// also wait for others to end.
constexpr std::chrono::milliseconds WeightsMargin{2500};

/// Answers made with old weights keep their whole worth for 1.5 s after newer ones were named, less
/// the time until a request begins.
constexpr std::chrono::milliseconds FullWorthOnOldWeights{1300};

/// Stands for the target latency of routes that have none.
constexpr std::chrono::milliseconds LeastTargetLatency{100};

/// After this time a part is saved again: it may have been dropped as the least recently used, or
/// with all others when the store restarted.
constexpr std::chrono::seconds SaveAgainAfter{30};

/// Part of the link of the store of kept KV cache that saving may take; the rest is for fetching.
constexpr double SavePart = 0.6;

/// Shorter parts are not told to the other routers: reading one again takes less than 10 ms.
constexpr std::uint32_t LeastToldTokens = 300;

/// First parts are at many engines; one of them is told again after this time, well before engines
/// drop what nobody uses.
constexpr std::chrono::seconds ToldAgainAfter{2};

constexpr double BytesPerMegabit = 125000;

/// Routers that decide alike from the same news change the load of an endpoint alike, and tell of
/// it later: the part of this router's own change that each of the others is expected to make.
constexpr double LikeChangePart = 0.25;

/// Prompt tokens that an engine reads in a millisecond, as the deployments' sheets say.
constexpr std::uint64_t TokensPerMs = 38;

std::chrono::milliseconds readingTime(std::uint64_t tokens)
{
    return std::chrono::milliseconds(tokens / TokensPerMs);
}

/// Time until an engine begins with a request that is sent now, by the prompts that wait there.
std::chrono::milliseconds expectedWait(const ForwardingContext &context, const EndpointView &view)
{
    EndpointLoad load = view.load();
    load += context.peers.loadOn(shortHash(view.id()));
    return readingTime(static_cast<std::uint64_t>(load.unreadTokens));
}

SoonestFirstEvent promptRule(const PlacedRequest &placed)
{
    const PromptRequest &prompt = *placed.request.prompt;
    SoonestFirstEvent rule;
    rule.sharedPartHash = sharedPartHash(prompt);
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        rule.sharedTokens += prompt.parts[part].tokens;
    rule.ownTokens = std::max(0.0, prompt.promptTokens - rule.sharedTokens);
    rule.outputTokens = prompt.maxOutputTokens;
    rule.targetLatency = std::max(placed.route.targetLatency, LeastTargetLatency);
    return rule;
}

/// The whole prompt is sent to the store, and only its shared parts are ever fetched from there.
bool isWorthSaving(const PromptRequest &prompt)
{
    std::uint32_t shared = 0;
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part)
        shared += prompt.parts[part].tokens;
    return 2 * shared >= prompt.promptTokens;
}

std::uint32_t priorityOf(const PlacedRequest &placed)
{
    const std::uint32_t priority = placed.account && placed.account->priority
                                           ? *placed.account->priority
                                           : placed.route.priority;
    return std::min(priority, LastEnginePriority);
}

/// Parts made under other weights, or for an account that shares nothing, must not be found.
std::string cacheScope(const PlacedRequest &placed, std::uint64_t weightsVersion)
{
    std::string scope = absl::StrCat("w", weightsVersion);
    if (placed.account && placed.account->isolated)
        absl::StrAppend(&scope, "/", placed.account->name);
    return scope;
}

} // namespace

EndpointLoad SendPlanner::expectedChange(const EndpointLoad &now, const EndpointLoad &told) const
{
    const auto others = static_cast<double>(m_context.peers.liveCount());
    const auto change = [&](double current, double average) {
        return std::max(0.0, current - average) * others * LikeChangePart;
    };
    return {change(now.openRequests, told.openRequests),
            change(now.unreadTokens, told.unreadTokens), change(now.heldTokens, told.heldTokens)};
}

SendPlanner::SendPlanner(ForwardingContext &context)
    : m_context(context)
    , m_sources(context)
{}

void SendPlanner::learn(const PartPlacement &placement, SteadyTime now)
{
    const auto view = m_context.endpoints.findShort(placement.endpoint);
    const auto reading = view ? expectedWait(m_context, *view) : std::chrono::milliseconds(0);
    m_context.parts.place(placement, reading, now);
}

SendPlanner::View SendPlanner::pick(const PlacedRequest &placed, const std::vector<View> &tried,
                                    SteadyTime now) const
{
    std::vector<EndpointCandidate> candidates;
    std::vector<View> views;
    std::vector<VersionedParts> known;
    for (const View &view : m_context.endpoints.ofService(placed.service)) {
        const bool again = std::find(tried.begin(), tried.end(), view) != tried.end();
        if (again || !isUsable(placed, *view, now))
            continue;
        candidates.push_back(describe(placed, *view, known, now));
        views.push_back(view);
    }
    PlacementRule rule = LeastExpectedTime{hash64(placed.request.id)};
    if (placed.request.prompt)
        rule = promptRule(placed);
    const auto chosen = chooseEndpoint(rule, candidates);
    return chosen ? views[*chosen] : nullptr;
}

bool SendPlanner::isUsable(const PlacedRequest &placed, const EndpointView &view,
                           SteadyTime now) const
{
    if (!view.takesRequests())
        return false;
    if (!placed.request.prompt)
        return true;
    const auto version = view.weightsVersion(placed.request.prompt->model);
    if (!version)
        return false;
    const auto oldSince = m_context.weights.oldSince(placed.request.prompt->model, *version);
    const auto lastBegin = m_context.settings.weightsDeadline - WeightsMargin;
    return !oldSince || now + expectedWait(m_context, view) < *oldSince + lastBegin;
}

EndpointCandidate SendPlanner::describe(const PlacedRequest &placed, const EndpointView &view,
                                        std::vector<VersionedParts> &known, SteadyTime now) const
{
    const std::uint32_t name = shortHash(view.id());
    EndpointCandidate candidate;
    candidate.idHash = hash64(view.id());
    candidate.slots = std::max(view.registration().slots, 1U);
    candidate.load = view.load();
    candidate.load += m_context.peers.loadOn(name);
    candidate.load += expectedChange(view.load(), view.lastAverage());
    candidate.latency = view.health().latency();
    candidate.failureShare = view.health().failureShare(now);
    candidate.isAvoided = view.health().isAvoided(now);
    candidate.isLoading = now < view.loadingUntil() || m_context.peers.isLoading(name, now);
    candidate.isLocal = view.registration().dataCentre == m_context.settings.dataCentre;
    if (!placed.request.prompt)
        return candidate;
    const RoutedService *service = placed.table.service(placed.service);
    if (service && service->engine)
        candidate.memoryTokens = static_cast<double>(service->engine->memoryTokens);
    const auto version = view.weightsVersion(placed.request.prompt->model).value_or(0);
    const auto oldSince = m_context.weights.oldSince(placed.request.prompt->model, version);
    candidate.hasOldWeights = oldSince && now >= *oldSince + FullWorthOnOldWeights;
    const PartSources::Longest &longest = longestPart(placed, version, known, now);
    candidate.hasSharedParts = longest.holder == name;
    candidate.canFetchParts = longest.canFetch;
    return candidate;
}

const PartSources::Longest &SendPlanner::longestPart(const PlacedRequest &placed,
                                                     std::uint64_t weightsVersion,
                                                     std::vector<VersionedParts> &known,
                                                     SteadyTime now) const
{
    for (const VersionedParts &entry : known) {
        if (entry.weightsVersion == weightsVersion)
            return entry.longest;
    }
    const std::string scope = cacheScope(placed, weightsVersion);
    known.push_back({weightsVersion, m_sources.longest(placed, scope, weightsVersion, now)});
    return known.back().longest;
}

EndpointSend SendPlanner::planSend(const PlacedRequest &placed, const EndpointView &view,
                                   std::chrono::milliseconds timeLeft, SteadyTime now)
{
    EndpointSend send;
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
    send.enginePriority = priorityOf(placed);
    planCache(placed, view, send, now);
    return send;
}

bool SendPlanner::wasUsedLately(PartKey part, SteadyTime now) const
{
    const auto *known = m_context.parts.find(part);
    return known && now - known->last.lastUsed < ToldAgainAfter;
}

void SendPlanner::planCache(const PlacedRequest &placed, const EndpointView &view,
                            EndpointSend &send, SteadyTime now)
{
    const PromptRequest &prompt = *placed.request.prompt;
    const auto &parts = prompt.parts;
    if (parts.size() < 2)
        return;
    const std::uint32_t name = shortHash(view.id());
    const KeptCache *kept = placed.table.keptCache();
    const PartKey longest = partKey(send.cacheScope, parts[parts.size() - 2].id);
    const auto *known = m_context.parts.find(longest);
    send.fetchFrom =
            m_sources.addressFor(placed, send.cacheScope, *send.weightsVersion, view.id(), now);
    const bool isSaved = known && known->savedAt && now - *known->savedAt < SaveAgainAfter;
    if (kept && !isSaved && isWorthSaving(prompt) && maySave(placed, *kept, now))
        send.saveTo = kept->address;
    m_sources.sent(placed, known && known->last.endpoint == name, now);
    const auto reading = expectedWait(m_context, view) + readingTime(prompt.promptTokens);
    const bool saves = !send.saveTo.empty();
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
        const PartPlacement placement{partKey(send.cacheScope, parts[part].id), name, saves};
        const bool isLongest = part + 2 == parts.size();
        const bool isNews = isLongest || !wasUsedLately(placement.part, now);
        m_context.parts.place(placement, reading, now);
        if (isNews && parts[part].tokens >= LeastToldTokens)
            m_context.placements.add(placement, m_context.peers.routerCount());
    }
}

bool SendPlanner::maySave(const PlacedRequest &placed, const KeptCache &kept, SteadyTime now)
{
    const RoutedService *service = placed.table.service(placed.service);
    if (!service || !service->engine)
        return false;
    const double bytes = static_cast<double>(placed.request.prompt->promptTokens)
                         * static_cast<double>(service->engine->bytesPerToken);
    const auto routers = static_cast<double>(m_context.peers.routerCount());
    const double share = kept.linkMegabitsPerSecond * BytesPerMegabit * SavePart / routers;
    return m_saves.take(bytes, share, now);
}

} // namespace almondmill
