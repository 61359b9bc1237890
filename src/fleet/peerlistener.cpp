#include "peerlistener.h"

#include "almondmill/kernel/error.h"

#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

namespace almondmill {

namespace {

constexpr int MaxThreads = 24;
constexpr int MinPollers = 1;
constexpr int MaxPollers = 2;
constexpr std::size_t MaxBufferBytes = 16U << 20U;
constexpr int MaxMessageBytes = 8 << 20;
constexpr int KeepaliveTimeMs = 30000;
constexpr int KeepaliveTimeoutMs = 5000;
constexpr int MinPingIntervalMs = 5000;
constexpr int ConnectionIdleTimeoutMs = 120000;
constexpr std::chrono::milliseconds ShutdownGrace{500};

} // namespace

PeerListener::PeerListener(const std::string &address, PeerService &service)
{
    grpc::ResourceQuota quota("peers");
    quota.SetMaxThreads(MaxThreads);
    quota.Resize(MaxBufferBytes);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    builder.SetResourceQuota(quota);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, MinPollers);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, MaxPollers);
    builder.SetMaxReceiveMessageSize(MaxMessageBytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, KeepaliveTimeMs);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, KeepaliveTimeoutMs);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                               MinPingIntervalMs);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, ConnectionIdleTimeoutMs);
    m_server = builder.BuildAndStart();
    if (!m_server || port == 0)
        throw Error("fleet.101", "cannot bind the listener for other routers to " + address);
}

PeerListener::~PeerListener()
{
    m_server->Shutdown(std::chrono::system_clock::now() + ShutdownGrace);
    m_server->Wait();
}

} // namespace almondmill
