#pragma once

#include "almondmill/endpoint/attemptresult.h"

namespace almondmill {

class AttemptObserver;
struct AttemptRequest;

/// Sends one request to one endpoint, once. The interface at which tests put a fake.
class AttemptRunner
{
public:
    virtual ~AttemptRunner() = default;

    /// Blocks until the answer is whole, the attempt fails or `cancel` is called.
    virtual AttemptResult run(const AttemptRequest &request, AttemptObserver &observer) = 0;

    /// Ends a running `run` from another thread, or lets the next one end at once. A call that
    /// comes while the connection is being opened may be without effect: repeat it until `run`
    /// returned.
    virtual void cancel() = 0;
};

} // namespace almondmill
