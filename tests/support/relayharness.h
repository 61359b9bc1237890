#pragma once

#include "almondmill/admission/loadcontrol.h"
#include "almondmill/endpoint/attemptrunner.h"
#include "almondmill/endpoint/cancelqueue.h"
#include "almondmill/endpoint/deadlinewatch.h"
#include "almondmill/kernel/node.h"
#include "almondmill/request/relayenvironment.h"
#include "almondmill/request/relaymetrics.h"
#include "almondmill/request/streamrelay.h"

#include <functional>
#include <memory>
#include <string>

namespace almondmill::test {

/// Runs relays in this process against `endpoints` endpoints with simulated attempts.
class RelayHarness
{
public:
    RelayHarness(std::size_t endpoints,
                 std::function<std::unique_ptr<AttemptRunner>()> makeAttempt);

    Node &node() { return m_node; }
    std::unique_ptr<StreamRelay> makeRelay(bool deterministic) const;

    /// Reads all bytes that the caller gets, or the refusal's JSON when the request is refused.
    std::string readToEnd(bool deterministic) const;

    /// Returns the same bytes, but lets the relay write them with `writeAll`, as the listener does.
    std::string writeToEnd(bool deterministic) const;

private:
    Node m_node;
    RelayMetrics m_metrics;
    DeadlineWatch m_watch;
    CancelQueue m_cancels;
    LoadControl m_load;
    RelayEnvironment m_environment;
};

} // namespace almondmill::test
