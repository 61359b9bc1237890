#include "almondmill/peers/peerviews.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// A peer counts as live for this long after its last message. Peers send about one message a
/// second.
constexpr std::chrono::milliseconds MessageTimeout{3500};

} // namespace

bool PeerViews::applyMessage(const PeerMessage &message, SteadyTime now)
{
    Peer &peer = m_peers[message.sender];
    const bool sameIncarnation = peer.message.incarnation == message.incarnation;
    if (sameIncarnation && message.sequence <= peer.message.sequence)
        return false;
    peer.message = message;
    peer.receivedAt = now;
    applyLoading(message.sender, message.loading, now);
    if (message.leaving) {
        m_departed.insert(message.sender);
        m_peers.erase(message.sender);
    } else {
        m_departed.erase(message.sender);
    }
    return true;
}

void PeerViews::applyLoading(const std::string &sender,
                             const std::vector<PeerMessage::LoadingEngine> &loading, SteadyTime now)
{
    m_loadingReports[sender] = {loading, now};
    rebuildLoadingDeadlines();
}

void PeerViews::rebuildLoadingDeadlines()
{
    m_loadingUntil.clear();
    for (const auto &[name, report] : m_loadingReports) {
        for (const PeerMessage::LoadingEngine &entry : report.engines) {
            SteadyTime &until = m_loadingUntil[entry.endpoint];
            until = std::max(until, report.receivedAt + entry.timeLeft);
        }
    }
}

EndpointLoad PeerViews::reportedLoadOn(std::uint32_t endpoint) const
{
    const auto found = m_loads.find(endpoint);
    return found == m_loads.end() ? EndpointLoad() : found->second;
}

ServiceSamples PeerViews::reportedSamplesOf(std::uint32_t service) const
{
    const auto found = m_serviceSamples.find(service);
    return found == m_serviceSamples.end() ? ServiceSamples() : found->second;
}

EndpointSamples PeerViews::reportedSamplesOn(std::uint32_t endpoint) const
{
    const auto found = m_endpointSamples.find(endpoint);
    return found == m_endpointSamples.end() ? EndpointSamples() : found->second;
}

ServiceLoad::ByLevel PeerViews::reportedOpenByLevel(std::uint32_t service) const
{
    const auto found = m_openByLevel.find(service);
    return found == m_openByLevel.end() ? ServiceLoad::ByLevel() : found->second;
}

bool PeerViews::isLoading(std::uint32_t endpoint, SteadyTime now) const
{
    const auto found = m_loadingUntil.find(endpoint);
    return found != m_loadingUntil.end() && now < found->second;
}

std::vector<std::string> PeerViews::leaderCandidates(const std::string &self) const
{
    constexpr std::size_t MaxCandidates = 2;
    std::vector<std::string> names{self};
    for (const auto &[name, peer] : m_peers)
        names.push_back(name);
    for (const auto &[name, report] : m_loadingReports) {
        const bool isRecent = m_refreshedAt - report.receivedAt <= MessageTimeout;
        if (isRecent && !m_departed.contains(name) && !m_peers.contains(name))
            names.push_back(name);
    }
    const std::size_t length = std::min(MaxCandidates, names.size());
    std::partial_sort(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(length),
                      names.end(), [](const std::string &first, const std::string &second) {
                          return hash64(first) < hash64(second);
                      });
    names.resize(length);
    return names;
}

void PeerViews::refresh(SteadyTime now, std::size_t known)
{
    m_refreshedAt = now;
    absl::erase_if(m_peers, [&](const auto &entry) {
        return now - entry.second.receivedAt > MessageTimeout;
    });
    m_routers = 1 + std::max(known, m_peers.size());
    m_loads.clear();
    m_serviceSamples.clear();
    m_endpointSamples.clear();
    m_openByLevel.clear();
    const double live = static_cast<double>(std::max<std::size_t>(m_peers.size(), 1));
    m_silentPeersPerReporter = std::max(0.0, static_cast<double>(known) / live - 1);
    for (const auto &[name, peer] : m_peers) {
        for (const PeerMessage::Load &entry : peer.message.loads)
            m_loads[entry.endpoint] += entry.load;
        for (const PeerMessage::Service &entry : peer.message.services) {
            m_serviceSamples[entry.service] += entry.samples;
            ServiceLoad::ByLevel &open = m_openByLevel[entry.service];
            for (std::size_t level = 0; level < std::min(open.size(), entry.openByLevel.size());
                 ++level)
                open[level] += entry.openByLevel[level];
        }
        for (const PeerMessage::EndpointSpeed &entry : peer.message.speeds)
            m_endpointSamples[entry.endpoint] += entry.samples;
    }
}

} // namespace almondmill
