#include "almondmill/forward/storeviews.h"

#include "almondmill/directory/storefollower.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/kernel/error.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Longest waits of the calls that hear changes: a connection that went silent is noticed by then.
constexpr milliseconds RoutingWait{5000};
constexpr milliseconds WeightsWait{5000};

/// Stands for the age of what is listed: a router is back this soon after all were stopped at once,
/// and else the others tell the age.
constexpr milliseconds UnknownAge{2500};

/// Heartbeats change registrations many times a second; gathering them saves calls.
constexpr milliseconds RegistrationsPause{500};

/// Longest wait for changed registrations; heartbeats that say nothing new don't end it.
constexpr milliseconds RegistrationsWait{6000};

void spawnFollower(ForwardingContext &context, AsyncStore &store, StoreFollower::Options options,
                   StoreFollower::Handlers handlers)
{
    auto follower = std::make_shared<StoreFollower>(context.loop, store, std::move(options),
                                                    std::move(handlers));
    asio::co_spawn(
            context.loop, [follower]() -> asio::awaitable<void> { co_await follower->run(); },
            asio::detached);
}

/// Nothing, with a log line, when the entry can't be read.
std::optional<Registration> decodeEntry(const PlatformAdapter &adapter, const StoredObject &object)
{
    try {
        return adapter.decodeRegistration(object.name, object.value);
    } catch (const Error &error) {
        EventLine("registration.unreadable")
                .add("name", object.name)
                .add("revision", object.version)
                .add("reason", error.what());
        return std::nullopt;
    }
}

} // namespace

StoreViews::StoreViews(ForwardingContext &context, AsyncStore &store)
    : m_context(context)
    , m_store(store)
{}

void StoreViews::start()
{
    followRouting();
    followRegistrations();
    followWeights();
}

void StoreViews::followRouting()
{
    StoreFollower::Options options{ObjectKind::RoutingConfiguration, "configuration", RoutingWait,
                                   milliseconds(0)};
    StoreFollower::Handlers handlers;
    handlers.listed = [this](const ObjectList &list) {
        for (const StoredObject &object : list.objects)
            applyRouting(object);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        for (const ObjectEvent &event : events.events) {
            if (!event.deleted)
                applyRouting(event.object);
        }
    };
    spawnFollower(m_context, m_store, std::move(options), std::move(handlers));
}

void StoreViews::followRegistrations()
{
    StoreFollower::Options options{ObjectKind::Registrations, "registrations", RegistrationsWait,
                                   RegistrationsPause};
    StoreFollower::Handlers handlers;
    handlers.listed = [this](const ObjectList &list) { applyRegistrations(list); };
    handlers.changed = [this](const ObjectEvents &events) { applyRegistrationEvents(events); };
    spawnFollower(m_context, m_store, std::move(options), std::move(handlers));
}

void StoreViews::followWeights()
{
    StoreFollower::Options options{ObjectKind::WeightsTargets, "weights", WeightsWait,
                                   milliseconds(0)};
    StoreFollower::Handlers handlers;
    handlers.listed = [this](const ObjectList &list) {
        // Nothing says for how long a listed version has been named.
        const auto since = std::chrono::steady_clock::now() - UnknownAge;
        for (const StoredObject &object : list.objects)
            applyWeightsTarget(object, since);
    };
    handlers.changed = [this](const ObjectEvents &events) {
        for (const ObjectEvent &event : events.events) {
            if (!event.deleted)
                applyWeightsTarget(event.object, std::chrono::steady_clock::now());
        }
    };
    spawnFollower(m_context, m_store, std::move(options), std::move(handlers));
}

void StoreViews::applyRouting(const StoredObject &object)
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
        EventLine("configuration.in_force")
                .add("version", version)
                .add("before", current ? current->version() : 0)
                .add("revision", object.version);
    } catch (const Error &error) {
        m_context.metrics.counter("almondmill_configuration_unreadable_total").add();
        EventLine("configuration.unreadable")
                .add("revision", object.version)
                .add("reason", error.what());
    }
}

void StoreViews::applyRegistrations(const ObjectList &list)
{
    std::vector<Registration> entries;
    for (const StoredObject &object : list.objects) {
        if (auto entry = decodeEntry(*m_context.adapter, object))
            entries.push_back(std::move(*entry));
    }
    m_context.directory.replaceAll(std::move(entries), list.revision);
}

void StoreViews::applyRegistrationEvents(const ObjectEvents &events)
{
    for (const ObjectEvent &event : events.events) {
        if (event.deleted) {
            m_context.directory.remove(event.object.name);
            continue;
        }
        if (auto entry = decodeEntry(*m_context.adapter, event.object))
            m_context.directory.put(std::move(*entry));
        else
            m_context.directory.remove(event.object.name);
    }
    m_context.directory.advance(events.revision);
}

void StoreViews::applyWeightsTarget(const StoredObject &object, SteadyTime since)
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
