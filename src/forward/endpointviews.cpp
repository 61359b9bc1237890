#include "almondmill/forward/endpointviews.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/kernel/abslview.h"
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
            .add("started_at", change.entry->startedAt);
    add(std::make_shared<EndpointView>(*change.entry, m_availability.of(*change.entry)));
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

EndpointViews::View EndpointViews::findByShortHash(std::uint32_t hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

void EndpointViews::add(View view)
{
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
    auto &views = m_byService[view->registration().service];
    views.erase(std::remove(views.begin(), views.end(), view), views.end());
    m_byHash.erase(shortHash(id));
    m_byId.erase(found);
}

} // namespace almondmill
