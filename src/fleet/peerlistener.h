#pragma once

#include "peerservice.h"

#include <memory>
#include <string>

namespace almondmill {

/// gRPC server for the calls of other routers, with bounded threads and memory.
class PeerListener
{
public:
    /// Binds `address` and starts to serve. Throws Error "fleet.101" if the address cannot be
    /// bound.
    PeerListener(const std::string &address, PeerService &service);
    ~PeerListener();
    PeerListener(const PeerListener &) = delete;
    PeerListener &operator=(const PeerListener &) = delete;

private:
    std::unique_ptr<grpc::Server> m_server;
};

} // namespace almondmill
