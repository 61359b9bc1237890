#include "almondmill/forward/storestatesync.h"

#include "almondmill/directory/storeoutage.h"
#include "almondmill/directory/storewatcher.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/kernel/error.h"
#include "almondmill/observe/eventline.h"

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

/// Longest wait of a reader's watch call for registrations, and the pause before the next call, in
/// which changes accumulate. The result of each call shows the other routers that they are up to
/// date, so there is one about every half second.
constexpr milliseconds RegistrationsWait{300};
constexpr milliseconds RegistrationsPause{200};

/// Fraction of the time in which a change must be in force for which a watch of the configuration
/// waits. A watch whose answer is lost fails some time after that, and is followed by a list.
constexpr int ConfigurationWaitsPerDeadline = 4;

/// Reads of the configuration within the time in which a change must be in force, when one version
/// follows another.
constexpr int ConfigurationReadsPerDeadline = 4;

/// Number of changes that fit into one datagram; an entry takes up to 200 bytes.
constexpr std::size_t MaxChangesPerUpdate = 6;

/// Number of ids that fit into one datagram.
constexpr std::size_t MaxRemovedPerUpdate = 40;

/// Assumed age of a listed version. When all routers were stopped together, the first one restarts
/// within this time. Otherwise the peers report the age.
constexpr milliseconds AssumedListedAge{2500};

/// Decodes an entry; logs an event and returns nothing when the entry is malformed.
std::optional<Registration> decodeEntry(const PlatformAdapter &adapter, const StoredObject &object)
{
    try {
        Registration entry = adapter.decodeRegistration(object.name, object.value);
        entry.revision = object.version;
        return entry;
    } catch (const Error &error) {
        EventLine("registration.unreadable")
                .add("name", object.name)
                .add("revision", object.version)
                .add("reason", error.what());
        return std::nullopt;
    }
}

} // namespace

StoreStateSync::StoreStateSync(ForwardingContext &context, AsyncStore &store, Publish publish)
    : m_context(context)
    , m_store(store)
    , m_publish(std::move(publish))
    , m_readerElection(context.settings.name, context.settings.drainDeadline)
    , m_outage(std::make_shared<StoreOutage>())
    , m_configurationReads(context.settings.configurationDeadline / ConfigurationReadsPerDeadline)
    , m_startedAt(std::chrono::steady_clock::now())
{}

StoreStateSync::~StoreStateSync() = default;

void StoreStateSync::start()
{
    followRouting();
    followRegistrations();
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

void StoreStateSync::checkOutage(SteadyTime now)
{
    const auto outage = m_outage->takeEnded();
    if (!outage)
        return;
    m_retention.begin(*outage);
    EventLine("store.outage_ended")
            .add("lasted", std::chrono::duration_cast<milliseconds>(outage->end - outage->begin))
            .add("retention", m_retention.timeLeft(now));
    scheduleRefreshAfterRetention();
}

void StoreStateSync::learnRetention(const StoreUpdate::Registrations &registrations, SteadyTime now)
{
    m_outage->recordPeerAnswer(now);
    if (registrations.retention.count() > 0) {
        m_retention.follow(registrations.retention, now);
        scheduleRefreshAfterRetention();
        return;
    }
    if (m_retention.endIfAnswered(registrations.answeringFor, now))
        m_registrations->refreshUpTo(m_context.directory.revision());
}

void StoreStateSync::scheduleRefreshAfterRetention()
{
    if (std::exchange(m_refreshScheduled, true))
        return;
    asio::co_spawn(m_context.loop, refreshAfterRetention(), asio::detached);
}

asio::awaitable<void> StoreStateSync::refreshAfterRetention()
{
    for (;;) {
        const milliseconds left = m_retention.timeLeft(std::chrono::steady_clock::now());
        if (left.count() == 0)
            break;
        co_await sleepFor(m_context.loop, left);
    }
    m_refreshScheduled = false;
    m_registrations->refreshUpTo(m_context.directory.revision());
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
    learnRetention(*update.registrations, now);
    EndpointDirectory &directory = m_context.directory;
    for (const Registration &entry : update.registrations->changed)
        directory.put(entry);
    for (const std::string &id : update.registrations->gone)
        directory.remove(id, update.registrations->to);
    if (update.registrations->to <= directory.revision())
        return;
    if (update.registrations->from > directory.revision()) {
        m_registrations->refreshUpTo(update.registrations->to); // Updates in between were lost.
        return;
    }
    directory.advance(update.registrations->to);
    m_registrations->advance(update.registrations->to);
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

void StoreStateSync::publishEvents(const ObjectEvents &events, std::uint64_t from)
{
    StoreUpdate::Registrations registrations;
    registrations.from = from;
    registrations.to = from;
    std::size_t changes = 0;
    for (const ObjectEvent &event : events.events) {
        const Registration *entry = m_context.directory.find(event.object.name);
        if (entry)
            registrations.changed.push_back(*entry);
        else
            registrations.gone.push_back(event.object.name);
        registrations.to = std::max(registrations.to, event.object.version);
        if (++changes % MaxChangesPerUpdate != 0)
            continue;
        const std::uint64_t to = registrations.to;
        publishRegistrations(std::exchange(registrations, {}));
        registrations.from = to;
        registrations.to = to;
    }
    registrations.to = std::max(registrations.to, events.revision);
    publishRegistrations(std::move(registrations));
}

void StoreStateSync::publishRemoved(const std::vector<std::string> &gone, std::uint64_t revision)
{
    StoreUpdate::Registrations registrations;
    registrations.from = revision;
    registrations.to = revision;
    for (const std::string &id : gone) {
        registrations.gone.push_back(id);
        if (registrations.gone.size() < MaxRemovedPerUpdate)
            continue;
        publishRegistrations(registrations);
        registrations.gone.clear();
    }
    publishRegistrations(std::move(registrations));
}

void StoreStateSync::publishRegistrations(StoreUpdate::Registrations registrations)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    registrations.retention = m_retention.timeLeft(now);
    registrations.answeringFor = m_outage->answeringFor(now);
    m_publish(std::move(registrations));
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

void StoreStateSync::followRegistrations()
{
    StoreWatcher::Options options{ObjectKind::Registrations, "registrations", RegistrationsWait,
                                  RegistrationsPause, Freshness::MayBeStale};
    StoreWatcher::Handlers handlers;
    handlers.listed = [this](const ObjectList &list, SteadyTime) {
        const auto gone = applyRegistrations(list);
        if (isReader())
            publishRemoved(gone, list.revision);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        const std::uint64_t from = m_context.directory.revision();
        applyRegistrationEvents(events);
        publishEvents(events, from);
    };
    m_registrations = follow(std::move(options), std::move(handlers));
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
                .add("revision", object.version);
    } catch (const Error &error) {
        m_context.metrics.counter("almondmill_configuration_unreadable_total").add();
        m_configurationError = error.what();
        EventLine("configuration.unreadable")
                .add("revision", object.version)
                .add("reason", error.what());
    }
}

std::vector<std::string> StoreStateSync::applyRegistrations(const ObjectList &list)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    checkOutage(now);
    m_retention.recordRead(list.revision);
    std::vector<Registration> entries;
    for (const StoredObject &object : list.objects) {
        if (auto entry = decodeEntry(*m_context.adapter, object))
            entries.push_back(std::move(*entry));
    }
    return m_context.directory.replaceAll(
            std::move(entries), list.revision,
            [&](const Registration &entry) { return m_retention.retains(entry, now); });
}

void StoreStateSync::applyRegistrationEvents(const ObjectEvents &events)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    checkOutage(now);
    m_retention.recordRead(events.revision);
    for (const ObjectEvent &event : events.events)
        applyRegistrationEvent(event, now);
    m_context.directory.advance(events.revision);
}

void StoreStateSync::applyRegistrationEvent(const ObjectEvent &event, SteadyTime now)
{
    EndpointDirectory &directory = m_context.directory;
    const StoredObject &object = event.object;
    if (event.deleted) {
        const Registration *entry = directory.find(object.name);
        if (entry && m_retention.retains(*entry, now))
            EventLine("endpoint.retained").add("endpoint", object.name);
        else
            directory.remove(object.name, object.version);
        return;
    }
    if (auto entry = decodeEntry(*m_context.adapter, object))
        directory.put(std::move(*entry));
    else
        directory.remove(object.name, object.version);
}

void StoreStateSync::applyWeightsTarget(const StoredObject &object, SteadyTime since)
{
    try {
        const auto target = m_context.adapter->decodeWeightsTarget(object.value);
        if (m_context.weights.learn(target, since))
            EventLine("weights.named")
                    .add("model", target.model)
                    .add("version", target.version)
                    .add("revision", object.version);
    } catch (const Error &error) {
        EventLine("weights.unreadable")
                .add("name", object.name)
                .add("revision", object.version)
                .add("reason", error.what());
    }
}

} // namespace almondmill
