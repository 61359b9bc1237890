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

/// Objects shared by all relays of a process. They outlive the relays.
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
