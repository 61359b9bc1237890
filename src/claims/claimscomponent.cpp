#include "almondmill/claims/claimscomponent.h"

#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

constexpr const char *SweepLeaseName = "leases/claims-sweep";

/// Limit of calls to the store for one claim before its call is sent, including the calls that
/// determine the effect of writes whose answer was lost.
constexpr int MaxStoreCallsPerClaim = 10;

/// Time within which the holder of a claim has sent the call and received its result, unless the
/// holder has failed.
std::chrono::milliseconds maxCallDuration(const Settings &settings)
{
    return settings.requestTimeout + settings.platformTimeout * MaxStoreCallsPerClaim;
}

LeaseOptions sweepLeaseOptions(const Node &node)
{
    LeaseOptions options;
    options.objectName = SweepLeaseName;
    options.holder = node.settings.name;
    options.incarnation = node.incarnation;
    options.duration = ClaimsComponent::LeaseDuration;
    options.storeTimeout = node.settings.platformTimeout;
    return options;
}

} // namespace

ClaimsComponent::ClaimsComponent(Node &node)
    : m_node(node)
    , m_claims(*node.store, node.settings.platformTimeout, maxCallDuration(node.settings))
    , m_settler(m_claims, node.metrics)
    , m_atMostOnce(m_claims, m_settler, node.metrics, node.settings.name, node.incarnation)
    , m_sweeper(*node.store, sweepLeaseOptions(node), static_cast<unsigned>(node.incarnation))
    , m_swept(node.metrics.counter("almondmill_claims_swept_total"))
{
    node.atMostOnce = &m_atMostOnce;
    node.metrics.setGauge("almondmill_claims_unsettled",
                          [this] { return static_cast<double>(m_settler.pending()); });
}

ClaimsComponent::~ClaimsComponent()
{
    stop();
}

void ClaimsComponent::dump(nlohmann::json &object) const
{
    object["unsettled"] = m_settler.pending();
    object["swept"] = m_swept.value();
}

void ClaimsComponent::start()
{
    m_settler.start();
    m_thread = std::thread([this] { run(); });
}

void ClaimsComponent::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
    m_settler.stop();
}

void ClaimsComponent::run()
{
    std::chrono::milliseconds wait = leaseCheckDelay();
    while (waitFor(wait)) {
        try {
            wait = sweepOnce();
        } catch (const Error &error) {
            log(LogLevel::Error, "claims",
                std::string("Sweeping expired claims failed; retrying later: ") + error.what());
            wait = leaseCheckDelay();
        }
    }
    m_sweeper.release();
}

std::chrono::milliseconds ClaimsComponent::sweepOnce()
{
    const std::optional<SweepStep> step =
            m_sweeper.step(std::chrono::steady_clock::now, std::chrono::system_clock::now());
    if (!step)
        return leaseCheckDelay();
    m_swept.add(step->removed);
    return std::chrono::duration_cast<std::chrono::milliseconds>(SweepRoundDuration)
           / ClaimSweeper::ShardCount;
}

std::chrono::milliseconds ClaimsComponent::leaseCheckDelay() const
{
    const std::size_t routers = m_node.members ? m_node.members->members()->size() : 1;
    const std::chrono::milliseconds scaled =
            LeaseCheckIntervalPerRouter * std::max<std::size_t>(routers, 1);
    const std::chrono::milliseconds mean =
            std::max<std::chrono::milliseconds>(scaled, MinLeaseCheckInterval);
    // Jitter of half the mean in both directions desynchronises routers that started together.
    const auto spread = static_cast<std::int64_t>(randomIncarnation()
                                                  % static_cast<std::uint64_t>(mean.count()));
    return mean / 2 + std::chrono::milliseconds(spread);
}

bool ClaimsComponent::waitFor(std::chrono::milliseconds time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, time, [&] { return m_stopping; });
}

namespace {

const ComponentRegistry::Registrar ClaimsRegistrar("claims", [](Node &node) {
    return std::make_unique<ClaimsComponent>(node);
});

} // namespace

} // namespace almondmill
