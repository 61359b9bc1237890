#pragma once

#include <functional>
#include <memory>

namespace almondmill {

class AttemptRunner;
class CancelQueue;
class DeadlineWatch;
class LoadControl;
struct Node;
struct RelayMetrics;

/// What all relays of a process share; outlives them.
struct RelayEnvironment
{
    Node &node;
    DeadlineWatch &watch;
    CancelQueue &cancels;
    RelayMetrics &metrics;
    LoadControl &load;
    std::function<std::unique_ptr<AttemptRunner>()> makeAttempt;
};

} // namespace almondmill
