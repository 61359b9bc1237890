#include "almondmill/forward/forwardingcontext.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/kernel/clocktimes.h"

namespace almondmill {

ForwardingContext::ForwardingContext(boost::asio::io_context &eventLoop,
                                     ForwarderSettings forwarderSettings,
                                     std::unique_ptr<PlatformAdapter> platformAdapter)
    : loop(eventLoop)
    , settings(std::move(forwarderSettings))
    , adapter(std::move(platformAdapter))
    , requestMetrics(metrics)
    , table(nullptr)
    , directory([this](const RegistrationChange &change) { endpoints.changed(change); })
    , partBreakers(settings.name, metrics)
    , partLookups(eventLoop, partLocations, metrics)
    , sendPermits(eventLoop, settings.name, rateLimits, metrics, ClockTimes::now())
    , retryBudgets({settings.retryBudgetRatio, settings.retryBudgetMinRetries,
                    settings.retryBudgetWindow})
{}

ForwardingContext::~ForwardingContext() = default;

} // namespace almondmill
