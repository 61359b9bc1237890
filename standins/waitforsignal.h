#pragma once

namespace almondmill::standin {

/// Blocks SIGTERM and SIGINT for all threads made later. Call first in `main`.
void blockTerminationSignals();

/// Waits until one of them comes.
void waitForTermination();

} // namespace almondmill::standin
