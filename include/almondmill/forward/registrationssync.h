#pragma once

#include "almondmill/directory/removalretention.h"
#include "almondmill/directory/storewatcher.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/storeupdate.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

class StoreOutage;
struct ForwardingContext;

/// Keeps the directory of endpoints as the platform's store has it: from lists and events that this
/// router reads, and from the updates of other routers.
class RegistrationsSync
{
public:
    using Publish = std::function<void(StoreUpdate::Registrations)>;
    using IsReader = std::function<bool()>;

    /// `publish` sends what was read here to the other routers.
    RegistrationsSync(ForwardingContext &context, std::shared_ptr<StoreOutage> outage,
                      Publish publish, IsReader isReader);

    /// How the registrations are to be watched, and what is done with the results.
    static StoreWatcher::Options options();
    StoreWatcher::Handlers handlers();

    /// Sets the watcher that was made from these; required before `learn`.
    void setWatcher(std::shared_ptr<StoreWatcher> watcher) { m_watcher = std::move(watcher); }

    /// Applies changes that another router read.
    void learn(const StoreUpdate::Registrations &registrations, SteadyTime now);

    /// Whether the directory was up to date, as this router or another one read it from the store,
    /// a short time before `bootNow`, a time on the boot clock.
    bool isFresh(SteadyTime bootNow) const;

    /// Brings the directory up to date. Completes with whether it contains all registrations that
    /// the store had acknowledged before the call.
    boost::asio::awaitable<bool> confirm() { return m_watcher->confirm(); }

private:
    /// Returns the ids of the entries that were removed.
    std::vector<std::string> applyList(const ObjectList &list, SteadyTime now);
    void applyEvents(const ObjectEvents &events, SteadyTime now);
    void applyEvent(const ObjectEvent &event, SteadyTime now);

    /// Retains missing entries if an outage of the store has just ended.
    void checkOutage(SteadyTime now);
    /// Takes over what another router knows of an outage of the store.
    void learnRetention(const StoreUpdate::Registrations &registrations, SteadyTime now);
    /// Lists the registrations again when missing entries are no longer retained.
    void scheduleRefreshAfterRetention();
    boost::asio::awaitable<void> refreshAfterRetention();

    /// What the other routers know of entries, by id.
    using KnownEntries = std::map<std::string, RegistrationDelta>;

    /// Applies changes that were read from the store, and publishes them.
    void relayEvents(const ObjectEvents &events, SteadyTime now);
    KnownEntries knownEntries(const ObjectEvents &events) const;
    void publishEvents(const ObjectEvents &events, std::uint64_t from, const KnownEntries &known,
                       SteadyTime now);
    /// Adds what other routers have to learn of an entry; returns the number of deltas that would
    /// take as much space.
    std::size_t describe(const std::string &id, const KnownEntries &known,
                         StoreUpdate::Registrations &registrations, SteadyTime now) const;
    /// Returns false when the endpoint's entry is not known here.
    bool learnDelta(const RegistrationDelta &delta);
    void publishRemoved(const std::vector<std::string> &gone, std::uint64_t revision,
                        SteadyTime now);
    /// Adds what this router knows of outages, and sends the changes to the other routers.
    void publish(StoreUpdate::Registrations registrations, SteadyTime now);

    ForwardingContext &m_context;
    std::shared_ptr<StoreOutage> m_outage;
    Publish m_publish;
    IsReader m_isReader;
    std::shared_ptr<StoreWatcher> m_watcher;
    RemovalRetention m_retention;
    bool m_refreshScheduled = false; ///< For the end of the retention.
    SteadyTime m_upToDateAt;         ///< On the boot clock.
};

} // namespace almondmill
