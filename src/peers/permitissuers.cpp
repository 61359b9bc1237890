#include "almondmill/peers/permitissuers.h"

#include <algorithm>
#include <utility>

namespace almondmill {

PermitIssuers::PermitIssuers(std::string self, SteadyTime now)
    : m_self(std::move(self))
    , m_startedAt(now)
    , m_heardAt(now)
{
    addRouter(m_self);
}

void PermitIssuers::addRouter(const std::string &name)
{
    m_owners.addRouter(name);
    m_names.push_back(name);
}

void PermitIssuers::recordMessage(const std::string &peer, bool isLeaving, SteadyTime now)
{
    m_heardAt = now;
    m_owners.recordMessage(peer, isLeaving);
}

void PermitIssuers::leave()
{
    m_owners.recordMessage(m_self, true);
}

std::optional<std::string> PermitIssuers::issuerToAsk(std::uint64_t key, SteadyTime now) const
{
    return m_owners.ownerToAsk(key, now);
}

void PermitIssuers::recordUnanswered(const std::string &issuer, SteadyTime now)
{
    m_owners.recordUnanswered(issuer, now);
}

PermitIssuers::Rank PermitIssuers::rankOf(std::uint64_t key) const
{
    const auto owners = m_owners.ownersOf(key);
    if (owners[0] == m_self)
        return Rank::First;
    return owners[1] == m_self ? Rank::Standby : Rank::None;
}

bool PermitIssuers::knowsFleet(SteadyTime now) const
{
    return !isStarting(now) || (m_hasList && m_names.size() >= UsableListSize);
}

double PermitIssuers::issuedShare(std::uint64_t key, double standbyShare, SteadyTime now) const
{
    if (rankOf(key) == Rank::None)
        return 0;
    const bool isCutOff = m_names.size() > 1 && now - m_heardAt > IsolationTime;
    if (isCutOff)
        return 1 / static_cast<double>(m_names.size());
    return issuerToAsk(key, now) == m_self ? 1 : standbyShare;
}

} // namespace almondmill
