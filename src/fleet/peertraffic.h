#pragma once

#include <cstddef>

namespace almondmill {

class Metrics;

/// Counts one message of the membership protocol and its bytes, without those of gRPC and TCP.
void countSent(Metrics &metrics, std::size_t bytes);
void countReceived(Metrics &metrics, std::size_t bytes);

} // namespace almondmill
