#include "almondmill/route/urgencylevels.h"

#include "almondmill/route/routingconfiguration.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Whether an account's priority hides that of routes which differ in theirs.
bool hidesRoutePriorities(const RoutingConfiguration &configuration)
{
    const auto &routes = configuration.routes;
    const auto &accounts = configuration.accounts;
    const bool differ = std::any_of(routes.begin(), routes.end(), [&](const Route &route) {
        return route.priority != routes.front().priority;
    });
    return differ && std::any_of(accounts.begin(), accounts.end(), [](const auto &account) {
               return account.priority.has_value();
           });
}

} // namespace

UrgencyLevels::UrgencyLevels(const RoutingConfiguration &configuration)
{
    if (!hidesRoutePriorities(configuration))
        return;
    for (const Route &route : configuration.routes) {
        m_pairs.emplace_back(route.priority, route.priority);
        for (const KeyedAccount &account : configuration.accounts) {
            if (account.priority)
                m_pairs.emplace_back(*account.priority, route.priority);
        }
    }
    std::sort(m_pairs.begin(), m_pairs.end());
    m_pairs.erase(std::unique(m_pairs.begin(), m_pairs.end()), m_pairs.end());
}

std::uint32_t UrgencyLevels::levelOf(const Route &route, const KeyedAccount *account) const
{
    const std::uint32_t first =
            account ? account->priority.value_or(route.priority) : route.priority;
    if (m_pairs.empty())
        return std::min(first, Count - 1);
    const auto found =
            std::lower_bound(m_pairs.begin(), m_pairs.end(), Pair(first, route.priority));
    const auto rank = static_cast<std::size_t>(found - m_pairs.begin());
    if (m_pairs.size() > Count)
        return static_cast<std::uint32_t>(rank * Count / m_pairs.size());
    return static_cast<std::uint32_t>(rank);
}

} // namespace almondmill
