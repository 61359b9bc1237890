#pragma once

#include <functional>
#include <memory>

namespace almondmill {

class AttemptRunner;
class CancelQueue;
class DeadlineWatch;
struct Node;
struct RelayMetrics;

/// What all relays of a process share; outlives them.
struct RelayEnvironment
{
    Node &node;
    DeadlineWatch &watch;
    CancelQueue &cancels;
    RelayMetrics &metrics;
    std::function<std::unique_ptr<AttemptRunner>()> makeAttempt;
};

} // namespace almondmill
