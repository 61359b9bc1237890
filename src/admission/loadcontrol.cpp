#include "almondmill/admission/loadcontrol.h"

#include "almondmill/admission/freeslots.h"
#include "almondmill/config/clientaccount.h"
#include "almondmill/config/model.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/metrics/metrics.h"

namespace almondmill {

namespace {

constexpr const char *DroppedMetric = "almondmill_queue_dropped_total";

} // namespace

LoadControl::LoadControl(const Options &options, Metrics &metrics)
    : m_options(options)
    , m_gates(options.queueCapacity, steadyNow)
    , m_budget(options.retries, steadyNow())
    , m_droppedFull(metrics.counter(DroppedMetric, "reason=\"full\""))
    , m_droppedExpired(metrics.counter(DroppedMetric, "reason=\"late\""))
    , m_retriesDenied(metrics.counter("almondmill_retries_denied_total"))
{
    metrics.setGauge("almondmill_queue_waiting",
                     [this] { return static_cast<double>(m_gates.waiting()); });
}

AdmissionResult LoadControl::admit(const ClientAccount &account, Priority priority,
                                   const Model &model, const EndpointSet::States &states)
{
    const SteadyTime now = steadyNow();
    m_budget.requestStarted(now);
    const QueuedRequest request{0, hash64(account.name), account.share, priority,
                                now + m_options.queueWait};
    auto result = m_gates.gate(model.name).acquire(request, [&] {
        return freeSlots(states, model.maxInFlight, steadyNow());
    });
    if (std::holds_alternative<QueueFull>(result))
        m_droppedFull.add();
    else if (std::holds_alternative<QueueTimeout>(result))
        m_droppedExpired.add();
    return result;
}

bool LoadControl::mayRetry(SteadyTime now)
{
    if (m_budget.take(now))
        return true;
    m_retriesDenied.add();
    return false;
}

} // namespace almondmill
