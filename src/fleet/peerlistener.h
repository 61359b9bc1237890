#pragma once

#include "peerservice.h"

#include <memory>
#include <string>

namespace almondmill {

/// The gRPC server at which other routers call. Its threads and memory are bounded.
class PeerListener
{
public:
    /// Binds and serves at once. Throws Error "fleet.101" when the address can't be bound.
    PeerListener(const std::string &address, PeerService &service);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

private:
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace almondmill
