#pragma once

#include "almondmill/fleet/probe.h"

#include <grpcpp/completion_queue.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondmill {

class Metrics;
class PeerChannels;

/// Outcome of a probe.
struct ProbeResult
{
    std::uint64_t id = 0;
    bool answered = false; ///< Whether the target, or the member asked to probe it, answered.
    bool reached = false;  ///< Whether the target answered.
    Heartbeat heartbeat;   ///< Of the member that answered.
};

/// Sends probes asynchronously. Not thread-safe.
class ProbeSender
{
public:
    ProbeSender(PeerChannels &channels, Metrics &metrics);
    ~ProbeSender();
    ProbeSender(const ProbeSender &) = delete;
    ProbeSender &operator=(const ProbeSender &) = delete;

    void send(const Probe &probe, std::chrono::milliseconds timeout);

    /// Waits at most `wait` for the next result.
    std::optional<ProbeResult> next(std::chrono::milliseconds wait);

private:
    struct Call;

    PeerChannels &m_channels;
    Metrics &m_metrics;
    grpc::CompletionQueue m_queue;
};

} // namespace almondmill
