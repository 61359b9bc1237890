#pragma once

#include "almondmill/endpoint/attemptresult.h"

namespace almondmill {

class AttemptObserver;
struct AttemptRequest;

/// Sends one request to one endpoint exactly once. Tests substitute a fake for this interface.
class AttemptRunner
{
public:
    virtual ~AttemptRunner() = default;

    /// Blocks until the response is complete, the attempt fails or `cancel` is called.
    virtual AttemptResult run(const AttemptRequest &request, AttemptObserver &observer) = 0;

    /// Cancels a running `run` from another thread, or makes the next `run` return immediately. A
    /// call made while the connection is being opened may have no effect, so callers repeat it
    /// until `run` has returned.
    virtual void cancel() = 0;
};

} // namespace almondmill
