#include "almondmill/forward/partsources.h"

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/promptrequest.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/forward/storeretention.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/route/routingtable.h"

namespace almondmill {

PartSources::PartSources(ForwardingContext &context)
    : m_context(context)
{}

PartSources::LongestSharedPart PartSources::longestSharedPart(const RoutedRequest &placed,
                                                              const std::string &cacheScope,
                                                              std::uint64_t weightsVersion,
                                                              const ClockTimes &now) const
{
    const auto &parts = placed.request.prompt->parts;
    if (parts.size() < 2)
        return {};
    const auto *location =
            m_context.partLocations.find(partKey(cacheScope, parts[parts.size() - 2].id));
    if (!location)
        return {};
    return {location->current.endpoint,
            sourceOf(placed, *location, weightsVersion, {}, now).isLikely};
}

std::string PartSources::addressFor(const RoutedRequest &placed, const std::string &cacheScope,
                                    std::uint64_t weightsVersion, const std::string &endpointId,
                                    const ClockTimes &now) const
{
    const PromptRequest &prompt = *placed.request.prompt;
    std::string unlikelyAddress;
    for (std::size_t part = prompt.parts.size() - 1; part-- > 0;) {
        const auto *location =
                m_context.partLocations.find(partKey(cacheScope, prompt.parts[part].id));
        if (!location)
            continue;
        Source source = sourceOf(placed, *location, weightsVersion, endpointId, now);
        if (source.isLikely)
            return std::move(source.address);
        if (unlikelyAddress.empty())
            unlikelyAddress = std::move(source.address);
    }
    if (unlikelyAddress.empty())
        unlikelyAddress = assignedEngineAddress(placed, weightsVersion, endpointId, now);
    if (!unlikelyAddress.empty())
        return unlikelyAddress;
    const auto engine = m_context.endpoints.find(endpointId);
    const KvCacheStore *store = placed.table.kvCacheStoreFor(
            engine ? engine->registration().dataCentre : std::string_view());
    return store ? store->address : std::string();
}

void PartSources::recordPromptSent(const RoutedRequest &placed, bool hasSharedParts, SteadyTime now)
{
    const PromptRequest &prompt = *placed.request.prompt;
    double tokens = prompt.promptTokens + prompt.maxOutputTokens;
    for (std::size_t part = 0; hasSharedParts && part + 1 < prompt.parts.size(); ++part)
        tokens -= prompt.parts[part].tokens;
    m_turnovers[placed.service].addTokens(tokens, now);
}

PartSources::Source PartSources::sourceOf(const RoutedRequest &placed,
                                          const PartLocations::Location &location,
                                          std::uint64_t weightsVersion,
                                          const std::string &exceptEndpoint,
                                          const ClockTimes &now) const
{
    const std::string &model = placed.request.prompt->model;
    const auto retention = cacheRetention(placed, now.steady);
    std::string staleAddress;
    for (const auto *holder :
         {&location.current, location.previous ? &*location.previous : nullptr}) {
        if (!holder)
            continue;
        std::string address = engineAddress(*holder, weightsVersion, model, exceptEndpoint, now);
        if (address.empty())
            continue;
        if (now.steady - holder->lastUsedAt < retention)
            return {std::move(address), true};
        if (staleAddress.empty())
            staleAddress = std::move(address);
    }
    const auto &saved = location.saved;
    const RoutedService *service = placed.table.service(placed.service);
    const KvCacheStore *store = saved ? placed.table.kvCacheStoreByHash(saved->store) : nullptr;
    const bool isStored =
            store && service && service->engine && now.steady >= saved->availableAt
            && now.steady - saved->availableAt < storeRetention(*store, *service->engine);
    if (isStored)
        return {store->address, true};
    return {std::move(staleAddress), false};
}

std::string PartSources::engineAddress(const PartLocations::Holder &holder,
                                       std::uint64_t weightsVersion, const std::string &model,
                                       const std::string &exceptEndpoint,
                                       const ClockTimes &now) const
{
    const auto view = m_context.endpoints.findByShortHash(holder.endpoint);
    const bool hasPart = view && view->id() != exceptEndpoint && now.steady >= holder.availableAt;
    const bool isSource = hasPart && canProvide(*view, weightsVersion, model, now);
    return isSource ? view->registration().address : std::string();
}

std::string PartSources::assignedEngineAddress(const RoutedRequest &placed,
                                               std::uint64_t weightsVersion,
                                               const std::string &exceptEndpoint,
                                               const ClockTimes &now) const
{
    const PromptRequest &prompt = *placed.request.prompt;
    const std::uint64_t part = sharedPartHash(prompt);
    const EndpointView *assigned = nullptr;
    std::uint64_t lowestRank = 0;
    for (const auto &view : m_context.endpoints.ofService(placed.service)) {
        const std::uint64_t rank = rendezvousRank(part, hash64(view->id()));
        if (assigned && rank >= lowestRank)
            continue;
        assigned = view.get();
        lowestRank = rank;
    }
    const bool isSource = assigned && assigned->id() != exceptEndpoint
                          && canProvide(*assigned, weightsVersion, prompt.model, now);
    return isSource ? assigned->registration().address : std::string();
}

bool PartSources::canProvide(const EndpointView &view, std::uint64_t weightsVersion,
                             const std::string &model, const ClockTimes &now) const
{
    const auto drainDeadline = m_context.settings.drainDeadline;
    return view.weightsVersion(model) == weightsVersion && view.health().isReachable(now.steady)
           && !view.availability().isPastDrainDeadline(drainDeadline, now.boot);
}

std::chrono::milliseconds PartSources::cacheRetention(const RoutedRequest &placed,
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
    return turnover->second.retention(memory, routers, now);
}

} // namespace almondmill
