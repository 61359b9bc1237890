#include "almondmill/forward/endpointviews.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/newendpoint.h"
#include "almondmill/kernel/abslview.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/peermessage.h"

#include <algorithm>

namespace almondmill {

void EndpointViews::changed(const RegistrationChange &change)
{
    const View known = find(change.id);
    if (!change.entry) {
        EventLine("endpoint.gone").add("endpoint", change.id);
        remove(change.id);
        return;
    }
    if (known && known->isSameIncarnation(*change.entry)) {
        if (known->registration().draining != change.entry->draining)
            EventLine("endpoint.draining")
                    .add("endpoint", change.id)
                    .add("draining", change.entry->draining);
        known->update(*change.entry);
        return;
    }
    remove(change.id);
    EventLine("endpoint.registered")
            .add("endpoint", change.id)
            .add("service", change.entry->service)
            .add("address", change.entry->address)
            .add("software", change.entry->softwareVersion)
            .add("started_at", change.entry->startedAt);
    const auto newAt = newSince(*change.entry);
    auto availability = m_availability.of(*change.entry, newAt);
    if (newAt && availability->pace().isInForce(*newAt))
        EventLine("endpoint.pace")
                .add("endpoint", change.id)
                .add("started_at", change.entry->startedAt)
                .add("change", "begin")
                .add("why", nameOf(PaceCause::Start))
                .add("limit", availability->pace().limitAt(*newAt));
    add(std::make_shared<EndpointView>(*change.entry, std::move(availability)));
}

std::optional<SteadyTime> EndpointViews::newSince(const Registration &registration)
{
    const SteadyTime now = bootTime();
    const auto known = m_servicesSince.try_emplace(registration.service, now).first->second;
    const auto unixNow = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return isNewEndpoint(registration, now - known, unixNow) ? std::optional(now) : std::nullopt;
}

const std::vector<EndpointViews::View> &EndpointViews::ofService(std::string_view service) const
{
    static const std::vector<View> none;
    const auto found = m_byService.find(abslView(service));
    return found == m_byService.end() ? none : found->second;
}

EndpointViews::View EndpointViews::find(std::string_view id) const
{
    const auto found = m_byId.find(abslView(id));
    return found == m_byId.end() ? nullptr : found->second;
}

EndpointViews::View EndpointViews::findByIncarnation(std::uint64_t incarnation) const
{
    const auto found = std::find_if(m_byId.begin(), m_byId.end(), [&](const auto &entry) {
        return entry.second->incarnation() == incarnation;
    });
    return found == m_byId.end() ? nullptr : found->second;
}

EndpointViews::View EndpointViews::findByShortHash(std::uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

void EndpointViews::add(View view)
{
    m_softwareHistory.added(view->registration(), bootTime());
    m_byService[view->registration().service].push_back(view);
    m_byHash[shortHash(view->id())] = view;
    m_byId[view->id()] = std::move(view);
}

void EndpointViews::remove(const std::string &id)
{
    const auto found = m_byId.find(id);
    if (found == m_byId.end())
        return;
    const View view = found->second;
    view->retire();
    m_availability.removed(view->registration());
    m_softwareHistory.removed(view->registration(), bootTime());
    auto &views = m_byService[view->registration().service];
    views.erase(std::remove(views.begin(), views.end(), view), views.end());
    m_byHash.erase(shortHash(id));
    m_byId.erase(found);
}

} // namespace almondmill
