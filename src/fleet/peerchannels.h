#pragma once

#include <fleet.grpc.pb.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// One gRPC channel to each peer that is spoken with. An idle channel closes its connection by
/// itself; a channel whose peer gave no answer is dropped, so that the next call opens a new one.
class PeerChannels
{
public:
    using Stub = fleet::Fleet::StubInterface;

    /// The stub of `peer`, made at first use. Does not block.
    std::shared_ptr<Stub> stub(const std::string &peer);

    /// Number of peers with a channel.
    std::size_t size() const;

    /// Forgets the channel if it is still the one that failed.
    void drop(const std::string &peer, const std::shared_ptr<Stub> &failed);

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Stub>> m_stubs;
};

} // namespace almondmill
