#include "almondmill/forward/partsources.h"

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/promptrequest.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/route/routingtable.h"

namespace almondmill {

namespace {

/// After this time a saved part may have been dropped as the least recently used, or with all
/// others when the store restarted.
constexpr std::chrono::seconds KeptFor{30};

} // namespace

PartSources::PartSources(ForwardingContext &context)
    : m_context(context)
{}

PartSources::Longest PartSources::longest(const PlacedRequest &placed,
                                          const std::string &cacheScope,
                                          std::uint64_t weightsVersion, SteadyTime now) const
{
    const auto &parts = placed.request.prompt->parts;
    if (parts.size() < 2)
        return {};
    const auto *location = m_context.parts.find(partKey(cacheScope, parts[parts.size() - 2].id));
    if (!location)
        return {};
    return {location->last.endpoint, sourceOf(placed, *location, weightsVersion, {}, now).isLikely};
}

std::string PartSources::addressFor(const PlacedRequest &placed, const std::string &cacheScope,
                                    std::uint64_t weightsVersion, const std::string &endpointId,
                                    SteadyTime now) const
{
    const PromptRequest &prompt = *placed.request.prompt;
    std::string unlikely;
    for (std::size_t part = prompt.parts.size() - 1; part-- > 0;) {
        const auto *location = m_context.parts.find(partKey(cacheScope, prompt.parts[part].id));
        if (!location)
            continue;
        Source source = sourceOf(placed, *location, weightsVersion, endpointId, now);
        if (source.isLikely)
            return std::move(source.address);
        if (unlikely.empty())
            unlikely = std::move(source.address);
    }
    if (unlikely.empty())
        unlikely = homeAddress(placed, weightsVersion, endpointId, now);
    if (!unlikely.empty())
        return unlikely;
    const KeptCache *kept = placed.table.keptCache();
    return kept ? kept->address : std::string();
}

void PartSources::sent(const PlacedRequest &placed, bool hasSharedParts, SteadyTime now)
{
    const PromptRequest &prompt = *placed.request.prompt;
    double tokens = prompt.promptTokens + prompt.maxOutputTokens;
    for (std::size_t part = 0; hasSharedParts && part + 1 < prompt.parts.size(); ++part)
        tokens -= prompt.parts[part].tokens;
    m_turnovers[placed.service].add(tokens, now);
}

PartSources::Source PartSources::sourceOf(const PlacedRequest &placed,
                                          const PartLocations::Location &location,
                                          std::uint64_t weightsVersion,
                                          const std::string &exceptEndpoint, SteadyTime now) const
{
    const std::string &model = placed.request.prompt->model;
    const auto lifetime = cacheLifetime(placed, now);
    std::string faded;
    for (const auto *holder : {&location.last, location.before ? &*location.before : nullptr}) {
        if (!holder)
            continue;
        std::string address = engineAddress(*holder, weightsVersion, model, exceptEndpoint, now);
        if (address.empty())
            continue;
        if (now - holder->lastUsed < lifetime)
            return {std::move(address), true};
        if (faded.empty())
            faded = std::move(address);
    }
    const KeptCache *kept = placed.table.keptCache();
    const bool isKept = kept && location.savedAt && now >= *location.savedAt
                        && now - *location.savedAt < KeptFor;
    if (isKept)
        return {kept->address, true};
    return {std::move(faded), false};
}

std::string PartSources::engineAddress(const PartLocations::Holder &holder,
                                       std::uint64_t weightsVersion, const std::string &model,
                                       const std::string &exceptEndpoint, SteadyTime now) const
{
    const auto view = m_context.endpoints.findShort(holder.endpoint);
    const bool canGive = view && view->id() != exceptEndpoint && now >= holder.readAt
                         && view->weightsVersion(model) == weightsVersion
                         && view->health().isReachable(now);
    return canGive ? view->registration().address : std::string();
}

std::string PartSources::homeAddress(const PlacedRequest &placed, std::uint64_t weightsVersion,
                                     const std::string &exceptEndpoint, SteadyTime now) const
{
    const PromptRequest &prompt = *placed.request.prompt;
    const std::uint64_t part = sharedPartHash(prompt);
    const EndpointView *home = nullptr;
    std::uint64_t least = 0;
    for (const auto &view : m_context.endpoints.ofService(placed.service)) {
        const std::uint64_t rank = homeRank(part, hash64(view->id()));
        if (home && rank >= least)
            continue;
        home = view.get();
        least = rank;
    }
    const bool canGive = home && home->id() != exceptEndpoint
                         && home->weightsVersion(prompt.model) == weightsVersion
                         && home->health().isReachable(now);
    return canGive ? home->registration().address : std::string();
}

std::chrono::milliseconds PartSources::cacheLifetime(const PlacedRequest &placed,
                                                     SteadyTime now) const
{
    const RoutedService *service = placed.table.service(placed.service);
    const auto turnover = m_turnovers.find(placed.service);
    if (!service || !service->engine || turnover == m_turnovers.end())
        return m_context.settings.reuseWindow;
    const double memory =
            static_cast<double>(service->engine->memoryTokens)
            * static_cast<double>(m_context.endpoints.ofService(placed.service).size());
    const auto routers = static_cast<double>(m_context.peers.routerCount());
    return turnover->second.lifetime(memory, routers, now);
}

} // namespace almondmill
