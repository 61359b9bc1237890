#pragma once

#include <fleet.grpc.pb.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// Cache of gRPC channels, one for each peer that was called. An idle channel closes its
/// connection. A channel whose call failed is dropped, so that the next call opens a new one.
/// Thread-safe.
class PeerChannels
{
public:
    using Stub = fleet::Fleet::StubInterface;

    /// The stub for `peer`, created on first use. Does not block.
    std::shared_ptr<Stub> stub(const std::string &peer);

    /// Number of peers with a channel.
    std::size_t size() const;

    /// Removes the stub of `peer` if it is still `failed`.
    void drop(const std::string &peer, const std::shared_ptr<Stub> &failed);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Stub>> m_stubs;
};

} // namespace almondmill
