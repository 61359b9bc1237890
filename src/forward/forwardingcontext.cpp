#include "almondmill/forward/forwardingcontext.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/heldmemory.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/peers/accountquotas.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Memory of all unfinished answers together: a sixth of that of the smallest VMs.
constexpr std::size_t MaxAnswerMemory = std::size_t(16) << 20U;

std::shared_ptr<HeldMemory> makeHeldMemory(const ForwarderSettings &settings, Metrics &metrics)
{
    const std::size_t total = settings.memoryForCallers();
    return std::make_shared<HeldMemory>(MemoryLimits{total, std::min(total, MaxAnswerMemory)},
                                        [&](std::string_view kind) {
                                            metrics.counter("almondmill_memory_evictions_total",
                                                            "kind=\"" + std::string(kind) + "\"")
                                                    .add();
                                        });
}

} // namespace

ForwardingContext::ForwardingContext(boost::asio::io_context &eventLoop,
                                     ForwarderSettings forwarderSettings,
                                     std::unique_ptr<PlatformAdapter> platformAdapter)
    : loop(eventLoop)
    , settings(std::move(forwarderSettings))
    , adapter(std::move(platformAdapter))
    , requestMetrics(metrics)
    , table(nullptr)
    , directory([this](const RegistrationChange &change) { endpoints.changed(change); })
    , heldMemory(makeHeldMemory(settings, metrics))
    , routerPlaces(settings.name)
    , partBreakers(settings.name, metrics)
    , partLookups(eventLoop, partLocations, metrics)
    , streamOrigins(eventLoop, endpoints.softwareHistory())
    , sendPermits(eventLoop, settings.name, rateLimits, metrics, ClockTimes::now())
    , accountQuotas(
              std::make_unique<AccountQuotas>(eventLoop, sendPermits.issuers(), table, metrics))
    , retryBudgets({settings.retryBudgetRatio, settings.retryBudgetMinRetries,
                    settings.retryBudgetWindow})
{}

ForwardingContext::~ForwardingContext() = default;

} // namespace almondmill
