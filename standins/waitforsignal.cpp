#include "waitforsignal.h"

#include <csignal>

namespace almondmill::standin {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForTermination()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace almondmill::standin
