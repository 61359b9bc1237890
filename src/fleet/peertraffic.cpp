#include "peertraffic.h"

#include "almondmill/metrics/metrics.h"

namespace almondmill {

namespace {

void count(Metrics &metrics, const char *direction, std::size_t bytes)
{
    metrics.counter("almondmill_heartbeats_total", direction).add();
    metrics.counter("almondmill_heartbeat_bytes_total", direction).add(bytes);
}

} // namespace

void countHeartbeatSent(Metrics &metrics, std::size_t bytes)
{
    count(metrics, "direction=\"sent\"", bytes);
}

void countHeartbeatReceived(Metrics &metrics, std::size_t bytes)
{
    count(metrics, "direction=\"received\"", bytes);
}

} // namespace almondmill
