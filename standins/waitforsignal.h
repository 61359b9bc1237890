#pragma once

namespace almondmill::standin {

/// Blocks SIGTERM and SIGINT in the calling thread and in all threads that it starts afterwards.
/// Must be called in `main` before any thread is started.
void blockTerminationSignals();

/// Blocks until SIGTERM or SIGINT is received.
void waitForTermination();

} // namespace almondmill::standin
