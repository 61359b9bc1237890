#include "almondmill/peers/peerviews.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// What a router told counts for so long; it tells anew about once a second.
constexpr std::chrono::milliseconds MessageLifetime{3500};

} // namespace

bool PeerViews::learn(const PeerMessage &message, SteadyTime now)
{
    Peer &peer = m_peers[message.sender];
    const bool sameLife = peer.message.incarnation == message.incarnation;
    if (sameLife && message.sequence <= peer.message.sequence)
        return false;
    peer.message = message;
    peer.heardAt = now;
    if (message.leaving)
        m_peers.erase(message.sender);
    gatherLoading();
    return true;
}

void PeerViews::learnLoading(const std::string &sender,
                             const std::vector<PeerMessage::Loading> &loading, SteadyTime now)
{
    Peer &peer = m_peers[sender];
    peer.message.loading = loading;
    peer.heardAt = now;
    gatherLoading();
}

void PeerViews::gatherLoading()
{
    m_loadingUntil.clear();
    for (const auto &[name, peer] : m_peers) {
        for (const PeerMessage::Loading &entry : peer.message.loading) {
            SteadyTime &until = m_loadingUntil[entry.endpoint];
            until = std::max(until, peer.heardAt + entry.timeLeft);
        }
    }
}

EndpointLoad PeerViews::loadOn(std::uint32_t endpoint) const
{
    const auto found = m_loads.find(endpoint);
    return found == m_loads.end() ? EndpointLoad() : found->second;
}

bool PeerViews::isLoading(std::uint32_t endpoint, SteadyTime now) const
{
    const auto found = m_loadingUntil.find(endpoint);
    return found != m_loadingUntil.end() && now < found->second;
}

std::vector<std::string> PeerViews::firstInLine(const std::string &self) const
{
    constexpr std::size_t Length = 2;
    std::vector<std::string> names{self};
    for (const auto &[name, peer] : m_peers)
        names.push_back(name);
    const std::size_t length = std::min(Length, names.size());
    std::partial_sort(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(length),
                      names.end(), [](const std::string &first, const std::string &second) {
                          return hash64(first) < hash64(second);
                      });
    names.resize(length);
    return names;
}

void PeerViews::refresh(SteadyTime now, std::size_t known)
{
    absl::erase_if(m_peers,
                   [&](const auto &entry) { return now - entry.second.heardAt > MessageLifetime; });
    gatherLoading();
    m_routers = 1 + std::max(known, m_peers.size());
    m_loads.clear();
    const double heard = static_cast<double>(std::max<std::size_t>(m_peers.size(), 1));
    const double scale = std::max(1.0, static_cast<double>(known) / heard);
    for (const auto &[name, peer] : m_peers) {
        for (const PeerMessage::Load &entry : peer.message.loads)
            m_loads[entry.endpoint] += entry.load * scale;
    }
}

} // namespace almondmill
