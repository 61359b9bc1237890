#pragma once

#include <cstddef>

namespace almondmill {

class Metrics;

/// Counts one message of the membership protocol and its payload bytes, without the overhead of
/// gRPC and TCP.
void countHeartbeatSent(Metrics &metrics, std::size_t bytes);
void countHeartbeatReceived(Metrics &metrics, std::size_t bytes);

} // namespace almondmill
