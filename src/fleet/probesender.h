#pragma once

#include "almondmill/fleet/probe.h"

#include <grpcpp/completion_queue.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondmill {

class Metrics;
class PeerChannels;

/// What became of a probe.
struct ProbeResult
{
    std::uint64_t id = 0;
    bool answered = false; ///< By the target, or by the member asked to probe it.
    bool reached = false;  ///< Whether the target answered.
    Heartbeat heartbeat;
};

/// Sends probes without waiting for their answers. For one thread.
class ProbeSender
{
public:
    ProbeSender(PeerChannels &channels, Metrics &metrics);
    ~ProbeSender();
    ProbeSender(const ProbeSender &) = delete;
    ProbeSender &operator=(const ProbeSender &) = delete;

    void send(const Probe &probe, std::chrono::milliseconds timeout);

    /// The next result, waiting for at most `wait`.
    std::optional<ProbeResult> next(std::chrono::milliseconds wait);

private:
    struct Call;

    PeerChannels &m_channels;
    Metrics &m_metrics;
    grpc::CompletionQueue m_queue;
};

} // namespace almondmill
