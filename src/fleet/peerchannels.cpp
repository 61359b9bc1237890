#include "peerchannels.h"

#include <grpcpp/create_channel.h>

namespace almondmill {

namespace {

constexpr int KeepaliveTimeMs = 10000;
constexpr int KeepaliveTimeoutMs = 2000;
constexpr int IdleTimeoutMs = 60000;
constexpr int MinReconnectBackoffMs = 100;
constexpr int MaxReconnectBackoffMs = 1000;
constexpr int MaxMessageBytes = 8 << 20;
constexpr int StreamLookaheadBytes = 64 << 10;

grpc::ChannelArguments makeArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveTimeMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, IdleTimeoutMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, MinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MaxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, StreamLookaheadBytes);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_CENSUS, 0);
    // Without its own subchannel pool, a new channel would reuse the connection and the backoff
    // state of the dropped one.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(MaxMessageBytes);
    return arguments;
}

} // namespace

std::shared_ptr<PeerChannels::Stub> PeerChannels::stub(const std::string &peer)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &slot = m_stubs[peer];
    if (!slot) {
        const auto channel = grpc::CreateCustomChannel(peer, grpc::InsecureChannelCredentials(),
                                                       makeArguments());
        slot = fleet::Fleet::NewStub(channel);
    }
    return slot;
}

std::size_t PeerChannels::size() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stubs.size();
}

void PeerChannels::drop(const std::string &peer, const std::shared_ptr<Stub> &failed)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_stubs.find(peer);
    if (found != m_stubs.end() && found->second == failed)
        m_stubs.erase(found);
}

} // namespace almondmill
