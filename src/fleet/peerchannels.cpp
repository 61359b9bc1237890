#include "peerchannels.h"

#include <grpcpp/create_channel.h>

namespace almondmill {

namespace {

constexpr int KeepaliveMs = 10000;
constexpr int KeepaliveTimeoutMs = 2000;
constexpr int IdleMs = 60000;
constexpr int LeastReconnectMs = 100;
constexpr int MostReconnectMs = 1000;
constexpr int MostMessageBytes = 8 << 20;
constexpr int WindowBytes = 64 << 10;

grpc::ChannelArguments makeArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, IdleMs);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, LeastReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, LeastReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, MostReconnectMs);
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, WindowBytes);
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_CENSUS, 0);
    // A dropped channel must take its connection and its back-off with it.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(MostMessageBytes);
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
