#pragma once

#include "peerchannels.h"

#include "almondmill/fleet/configurationpeers.h"
#include "almondmill/fleet/placementpeers.h"

#include <functional>

namespace almondmill {

class Metrics;

/// gRPC client for calls to other routers. Each call blocks for at most its timeout.
class GrpcPeers : public ConfigurationPeers, public PlacementPeers
{
public:
    using FailureHandler = std::function<void(const std::string &peer)>;

    /// `onFailure` is called with the peer's address after every failed call.
    GrpcPeers(Metrics &metrics, FailureHandler onFailure);

    std::optional<ConfigurationOffer> pull(const std::string &peer, std::uint64_t haveVersion,
                                           const std::vector<std::string> &haveParts,
                                           std::chrono::milliseconds timeout) override;

    std::optional<std::uint64_t> push(const std::string &peer, const ConfigurationOffer &offer,
                                      std::chrono::milliseconds timeout) override;

    std::optional<PlacementAdvice> ask(const std::string &peer, const PlacementQuery &query,
                                       std::chrono::milliseconds timeout) override;

    /// Sends a probe with `heartbeat` to `target`. Returns whether it was answered in time.
    bool probe(const std::string &target, const fleet::Heartbeat &heartbeat,
               std::chrono::milliseconds timeout);

    PeerChannels &channels() { return m_channels; }

private:
    template<typename Call>
    bool call(const std::string &peer, std::chrono::milliseconds timeout, Call &&call);

    Metrics &m_metrics;
    FailureHandler m_onFailure;
    PeerChannels m_channels;
};

} // namespace almondmill
