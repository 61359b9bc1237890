#include "almondmill/forward/registrationssync.h"

#include "almondmill/directory/endpointid.h"
#include "almondmill/directory/storeoutage.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/error.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/store/revision.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Longest wait of a reader's watch call for registrations, and the pause before the next call, in
/// which changes accumulate. The result of each call shows the other routers that they are up to
/// date, so there is one about every half second.
constexpr milliseconds RegistrationsWait{300};
constexpr milliseconds RegistrationsPause{200};

/// Readers report about every half second; one report may be lost.
constexpr milliseconds FreshnessTime{1200};

/// Changes after which an update is full: whole entries take up to 200 bytes, deltas with one model
/// up to 25. One whole entry more, the head and the engines that load weights still fit into a
/// datagram.
constexpr std::size_t MaxDeltasPerUpdate = 32;
constexpr std::size_t DeltasPerEntry = 8;

/// Number of ids that fit into one datagram.
constexpr std::size_t MaxRemovedPerUpdate = 40;

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
                .add("revision", revisionText(object.version))
                .add("reason", error.what());
        return std::nullopt;
    }
}

} // namespace

RegistrationsSync::RegistrationsSync(ForwardingContext &context,
                                     std::shared_ptr<StoreOutage> outage, Publish publish,
                                     IsReader isReader)
    : m_context(context)
    , m_outage(std::move(outage))
    , m_publish(std::move(publish))
    , m_isReader(std::move(isReader))
{}

StoreWatcher::Options RegistrationsSync::options()
{
    return {ObjectKind::Registrations, "registrations", RegistrationsWait, RegistrationsPause,
            Freshness::MayBeStale};
}

StoreWatcher::Handlers RegistrationsSync::handlers()
{
    StoreWatcher::Handlers handlers;
    handlers.listed = [this](const ObjectList &list, SteadyTime) {
        const SteadyTime now = std::chrono::steady_clock::now();
        const auto gone = applyList(list, now);
        if (m_isReader())
            publishRemoved(gone, list.revision, now);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        relayEvents(events, std::chrono::steady_clock::now());
    };
    handlers.caughtUp = [this](const ObjectEvents &events) {
        const SteadyTime now = std::chrono::steady_clock::now();
        if (m_isReader())
            relayEvents(events, now);
        else
            applyEvents(events, now);
    };
    return handlers;
}

void RegistrationsSync::learn(const StoreUpdate::Registrations &registrations, SteadyTime now)
{
    learnRetention(registrations, now);
    EndpointDirectory &directory = m_context.directory;
    for (const Registration &entry : registrations.changed)
        directory.put(entry);
    for (const std::string &id : registrations.gone)
        directory.remove(id, registrations.to);
    bool isComplete = registrations.from <= directory.revision();
    for (const RegistrationDelta &delta : registrations.deltas)
        isComplete = learnDelta(delta) && isComplete;
    if (isComplete)
        m_upToDateAt = bootTime();
    if (registrations.to <= directory.revision())
        return;
    if (!isComplete) {
        m_watcher->refreshUpTo(registrations.to); // Updates in between were lost.
        return;
    }
    directory.advance(registrations.to);
    m_watcher->advance(registrations.to);
}

bool RegistrationsSync::learnDelta(const RegistrationDelta &delta)
{
    const auto view = m_context.endpoints.findByShortHash(delta.endpoint);
    const Registration *known = view ? m_context.directory.find(view->id()) : nullptr;
    auto entry = known ? applyDelta(delta, *known) : std::nullopt;
    if (!entry)
        return false;
    m_context.directory.put(std::move(*entry));
    return true;
}

std::vector<std::string> RegistrationsSync::applyList(const ObjectList &list, SteadyTime now)
{
    checkOutage(now);
    m_retention.recordRead(list.revision);
    std::vector<Registration> entries;
    for (const StoredObject &object : list.objects) {
        if (auto entry = decodeEntry(*m_context.adapter, object))
            entries.push_back(std::move(*entry));
    }
    return m_context.directory.replaceAll(
            std::move(entries), list.revision, [&](const Registration &entry) {
                return !list.isComplete || m_retention.retains(entry, now);
            });
}

bool RegistrationsSync::isFresh(SteadyTime bootNow) const
{
    return bootNow - m_upToDateAt < FreshnessTime;
}

void RegistrationsSync::applyEvents(const ObjectEvents &events, SteadyTime now)
{
    m_upToDateAt = bootTime();
    checkOutage(now);
    m_retention.recordRead(events.revision);
    for (const ObjectEvent &event : events.events)
        applyEvent(event, now);
    m_context.directory.advance(events.revision);
}

void RegistrationsSync::applyEvent(const ObjectEvent &event, SteadyTime now)
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

void RegistrationsSync::checkOutage(SteadyTime now)
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

void RegistrationsSync::learnRetention(const StoreUpdate::Registrations &registrations,
                                       SteadyTime now)
{
    m_outage->recordPeerAnswer(now);
    if (registrations.retention.count() > 0) {
        m_retention.follow(registrations.retention, now);
        scheduleRefreshAfterRetention();
        return;
    }
    if (!m_retention.endIfAnswered(registrations.answeringFor, now))
        return;
    EventLine("store.retention_ended").add("answering_for", registrations.answeringFor);
    m_watcher->refreshKnown();
}

void RegistrationsSync::scheduleRefreshAfterRetention()
{
    if (std::exchange(m_refreshScheduled, true))
        return;
    asio::co_spawn(m_context.loop, refreshAfterRetention(), asio::detached);
}

asio::awaitable<void> RegistrationsSync::refreshAfterRetention()
{
    for (;;) {
        const milliseconds left = m_retention.timeLeft(std::chrono::steady_clock::now());
        if (left.count() == 0)
            break;
        co_await sleepFor(m_context.loop, left);
    }
    m_refreshScheduled = false;
    m_watcher->refreshKnown();
}

void RegistrationsSync::relayEvents(const ObjectEvents &events, SteadyTime now)
{
    const std::uint64_t from = m_context.directory.revision();
    const KnownEntries known = knownEntries(events);
    applyEvents(events, now);
    publishEvents(events, from, known, now);
}

RegistrationsSync::KnownEntries RegistrationsSync::knownEntries(const ObjectEvents &events) const
{
    KnownEntries known;
    for (const ObjectEvent &event : events.events) {
        if (const Registration *entry = m_context.directory.find(event.object.name))
            known[entry->id] = deltaOf(*entry);
    }
    return known;
}

void RegistrationsSync::publishEvents(const ObjectEvents &events, std::uint64_t from,
                                      const KnownEntries &known, SteadyTime now)
{
    StoreUpdate::Registrations registrations;
    registrations.from = from;
    registrations.to = from;
    std::size_t changes = 0;
    for (const ObjectEvent &event : events.events) {
        changes += describe(event.object.name, known, registrations, now);
        registrations.to = std::max(registrations.to, event.object.version);
        if (changes < MaxDeltasPerUpdate)
            continue;
        changes = 0;
        const std::uint64_t to = registrations.to;
        publish(std::exchange(registrations, {}), now);
        registrations.from = to;
        registrations.to = to;
    }
    registrations.to = std::max(registrations.to, events.revision);
    publish(std::move(registrations), now);
}

std::size_t RegistrationsSync::describe(const std::string &id, const KnownEntries &known,
                                        StoreUpdate::Registrations &registrations,
                                        SteadyTime now) const
{
    const Registration *entry = m_context.directory.find(id);
    if (!entry) {
        if (!isEndpointId(id))
            return 0; // An entry of another writer; no router ever took it for an endpoint's.
        registrations.gone.push_back(id);
        return DeltasPerEntry;
    }
    const auto before = known.find(id);
    RegistrationDelta after = deltaOf(*entry);
    if (before == known.end() || before->second.rest != after.rest) {
        registrations.changed.push_back(*entry);
        return DeltasPerEntry;
    }
    // A heartbeat renews an entry without changing it. Routers need it only while they decide by
    // the revisions of entries which of them are retained.
    if (isRenewal(before->second, after) && m_retention.timeLeft(now).count() == 0)
        return 0;
    registrations.deltas.push_back(std::move(after));
    return 1;
}

void RegistrationsSync::publishRemoved(const std::vector<std::string> &gone, std::uint64_t revision,
                                       SteadyTime now)
{
    StoreUpdate::Registrations registrations;
    registrations.from = revision;
    registrations.to = revision;
    for (const std::string &id : gone) {
        registrations.gone.push_back(id);
        if (registrations.gone.size() < MaxRemovedPerUpdate)
            continue;
        publish(registrations, now);
        registrations.gone.clear();
    }
    publish(std::move(registrations), now);
}

void RegistrationsSync::publish(StoreUpdate::Registrations registrations, SteadyTime now)
{
    registrations.retention = m_retention.timeLeft(now);
    registrations.answeringFor = m_outage->answeringFor(now);
    m_publish(std::move(registrations));
}

} // namespace almondmill
