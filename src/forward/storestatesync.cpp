#include "almondmill/forward/storestatesync.h"

#include "almondmill/directory/storeoutage.h"
#include "almondmill/directory/storewatcher.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/kernel/error.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/store/revision.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Longest wait of a watch call for named weights. It bounds the time in which an unresponsive
/// connection is detected; a delay of up to 1.5 s at the start of a roll-out has no cost.
constexpr milliseconds WeightsWait{3000};

/// A watch of the configuration waits for this part of the time in which a change must be in force,
/// so that a lost answer is noticed early enough to list the configuration instead.
constexpr int ConfigurationWaitsPerDeadline = 4;

/// Reads of the configuration within the time in which a change must be in force, when one version
/// follows another.
constexpr int ConfigurationReadsPerDeadline = 4;

/// Assumed age of a listed version. When all routers were stopped together, the first one restarts
/// within this time. Otherwise the peers report the age.
constexpr milliseconds AssumedListedAge{2500};

} // namespace

StoreStateSync::StoreStateSync(ForwardingContext &context, AsyncStore &store, Publish publish)
    : m_context(context)
    , m_store(store)
    , m_publish(std::move(publish))
    , m_readerElection(context.settings.name, context.settings.drainDeadline)
    , m_outage(std::make_shared<StoreOutage>())
    , m_configurationReads(context.settings.configurationDeadline / ConfigurationReadsPerDeadline)
    , m_startedAt(std::chrono::steady_clock::now())
    , m_registrations(
              context, m_outage,
              [this](StoreUpdate::Registrations changes) { m_publish(std::move(changes)); },
              [this] { return isReader(); })
{}

StoreStateSync::~StoreStateSync() = default;

void StoreStateSync::start()
{
    followRouting();
    m_registrations.setWatcher(follow(RegistrationsSync::options(), m_registrations.handlers()));
    followWeights();
}

bool StoreStateSync::isReader() const
{
    const SteadyTime now = std::chrono::steady_clock::now();
    return m_readerElection.isReader(now) && !m_readerElection.inStartupGrace(m_startedAt, now);
}

bool StoreStateSync::isFirstReader(SteadyTime now) const
{
    return m_readerElection.isFirstReader(now)
           && !m_readerElection.inStartupGrace(m_startedAt, now);
}

bool StoreStateSync::isStoreAnswering() const
{
    return m_outage->isAnswering();
}

std::shared_ptr<StoreWatcher> StoreStateSync::follow(StoreWatcher::Options options,
                                                     StoreWatcher::Handlers handlers)
{
    auto watcher = std::make_shared<StoreWatcher>(m_context.loop, m_store, std::move(options),
                                                  std::move(handlers), m_outage);
    startSupervised(m_context.loop, "store.watch",
                    [this, watcher] { return watcher->run([this] { return isReader(); }); });
    return watcher;
}

void StoreStateSync::learn(const StoreUpdate &update)
{
    learnWeights(update.weights, update.origin);
    learnConfigurationVersion(update.configuration);
    if (!update.registrations)
        return;
    const SteadyTime now = std::chrono::steady_clock::now();
    m_readerElection.recordUpdate(update.origin, now);
    m_registrations.learn(*update.registrations, now);
}

void StoreStateSync::learnWeights(const std::vector<PeerMessage::Weights> &weights,
                                  const std::string &peer)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    for (const PeerMessage::Weights &entry : weights) {
        if (m_context.weights.learn(entry.target, now - entry.knownFor))
            EventLine("weights.named")
                    .add("model", entry.target.model)
                    .add("version", entry.target.version)
                    .add("known_for", entry.knownFor)
                    .add("peer", peer);
    }
}

void StoreStateSync::learnConfigurationVersion(std::uint64_t version)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    if (version <= configurationInForce() || !m_reportedConfiguration.record(version, now))
        return;
    const auto delay = m_configurationReads.reported(now);
    if (!delay)
        return;
    EventLine("configuration.read").add("reported", version).add("in", *delay);
    asio::co_spawn(m_context.loop, readConfigurationAfter(*delay), asio::detached);
}

asio::awaitable<void> StoreStateSync::readConfigurationAfter(milliseconds delay)
{
    co_await sleepFor(m_context.loop, delay);
    if (m_reportedConfiguration.isAwaited(configurationInForce()))
        m_routing->refresh();
}

std::uint64_t StoreStateSync::configurationInForce() const
{
    const auto table = m_context.table.snapshot();
    return table ? table->version() : 0;
}

void StoreStateSync::checkReportedConfiguration(SteadyTime sentAt)
{
    const auto missing = m_reportedConfiguration.recordRead(configurationInForce(), sentAt,
                                                            std::chrono::steady_clock::now());
    if (missing)
        EventLine("configuration.missing").add("version", *missing);
}

void StoreStateSync::followRouting()
{
    const milliseconds wait =
            m_context.settings.configurationDeadline / ConfigurationWaitsPerDeadline;
    StoreWatcher::Options options{ObjectKind::RoutingConfiguration, "configuration", wait,
                                  milliseconds(0)};
    StoreWatcher::Handlers handlers;
    handlers.listed = [this](const ObjectList &list, SteadyTime sentAt) {
        for (const StoredObject &object : list.objects)
            applyRouting(object);
        checkReportedConfiguration(sentAt);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        for (const ObjectEvent &event : events.events) {
            if (!event.deleted)
                applyRouting(event.object);
        }
        if (!events.events.empty())
            m_publish(std::nullopt);
    };
    m_routing = follow(std::move(options), std::move(handlers));
}

void StoreStateSync::followWeights()
{
    StoreWatcher::Options options{ObjectKind::WeightsTargets, "weights", WeightsWait,
                                  milliseconds(0), Freshness::MayBeStale};
    StoreWatcher::Handlers handlers;
    handlers.listed = [this](const ObjectList &list, SteadyTime) {
        // A list does not contain the time at which a version was named.
        const auto since = std::chrono::steady_clock::now() - AssumedListedAge;
        for (const StoredObject &object : list.objects)
            applyWeightsTarget(object, since);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        for (const ObjectEvent &event : events.events) {
            if (!event.deleted)
                applyWeightsTarget(event.object, std::chrono::steady_clock::now());
        }
        if (!events.events.empty())
            m_publish(std::nullopt);
    };
    m_weights = follow(std::move(options), std::move(handlers));
}

std::chrono::milliseconds StoreStateSync::configurationAge(SteadyTime now) const
{
    if (!m_configurationSince)
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_configurationSince);
}

void StoreStateSync::applyRouting(const StoredObject &object)
{
    if (object.name != m_context.adapter->routingObject())
        return;
    try {
        auto configuration = m_context.adapter->decodeRouting(object.value);
        const auto current = m_context.table.snapshot();
        if (current && configuration.version <= current->version())
            return;
        const std::uint64_t version = configuration.version;
        m_context.table.publish(std::make_shared<const RoutingTable>(std::move(configuration)));
        m_configurationSince = std::chrono::steady_clock::now();
        m_configurationError.clear();
        EventLine("configuration.in_force")
                .add("version", version)
                .add("before", current ? current->version() : 0)
                .add("revision", revisionText(object.version));
    } catch (const Error &error) {
        m_context.metrics.counter("almondmill_configuration_unreadable_total").add();
        m_configurationError = error.what();
        EventLine("configuration.unreadable")
                .add("revision", revisionText(object.version))
                .add("reason", error.what());
    }
}

void StoreStateSync::applyWeightsTarget(const StoredObject &object, SteadyTime since)
{
    try {
        const auto target = m_context.adapter->decodeWeightsTarget(object.value);
        if (m_context.weights.learn(target, since))
            EventLine("weights.named")
                    .add("model", target.model)
                    .add("version", target.version)
                    .add("revision", revisionText(object.version));
    } catch (const Error &error) {
        EventLine("weights.unreadable")
                .add("name", object.name)
                .add("revision", revisionText(object.version))
                .add("reason", error.what());
    }
}

} // namespace almondmill
