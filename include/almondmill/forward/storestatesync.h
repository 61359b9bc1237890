#pragma once

#include "almondmill/directory/refreshlimiter.h"
#include "almondmill/directory/reportedversion.h"
#include "almondmill/directory/storewatcher.h"
#include "almondmill/forward/registrationssync.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/readerelection.h"
#include "almondmill/peers/storeupdate.h"
#include "almondmill/store/readresult.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

class AsyncStore;
class StoreOutage;
struct ForwardingContext;

/// Follows the platform's store and applies its contents to the forwarding context: the routing
/// configuration, the endpoint registrations and the named versions of weights.
class StoreStateSync
{
public:
    /// Sends what was read here to the other routers; without registrations, versions only.
    using Publish = std::function<void(std::optional<StoreUpdate::Registrations>)>;

    StoreStateSync(ForwardingContext &context, AsyncStore &store, Publish publish);
    ~StoreStateSync();

    /// Time for which the configuration has been in force; zero while there is none.
    std::chrono::milliseconds configurationAge(SteadyTime now) const;

    /// Why the newest configuration that was read could not be applied; empty when it is in force.
    const std::string &configurationError() const { return m_configurationError; }

    /// Whether this router is the first of those that are elected to read the store.
    bool isFirstReader(SteadyTime now) const;

    /// Whether the store answers this router, as far as its watchers know.
    bool isStoreAnswering() const;

    /// Starts following the store.
    void start();

    /// The registrations of endpoints, as far as this router knows them. Valid after `start`.
    RegistrationsSync &registrations() { return m_registrations; }

    /// Applies an update that another router read from the store.
    void learn(const StoreUpdate &update);

    /// Applies the versions of weights that another router reports, and since when each is known.
    void learnWeights(const std::vector<PeerMessage::Weights> &weights, const std::string &peer);

    /// Reads the configuration again when another router has a newer version in force.
    void learnConfigurationVersion(std::uint64_t version);

private:
    void applyRouting(const StoredObject &object);
    /// Compares what a read sent at `sentAt` brought into force with what other routers report.
    void checkReportedConfiguration(SteadyTime sentAt);
    boost::asio::awaitable<void> readConfigurationAfter(std::chrono::milliseconds delay);
    /// Version of the configuration in force; zero while there is none.
    std::uint64_t configurationInForce() const;
    void applyWeightsTarget(const StoredObject &object, SteadyTime since);
    void followRouting();
    void followWeights();

    /// Whether this router is elected to read the store itself.
    bool isReader() const;

    std::shared_ptr<StoreWatcher> follow(StoreWatcher::Options options,
                                         StoreWatcher::Handlers handlers);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Publish m_publish;
    ReaderElection m_readerElection;
    std::shared_ptr<StoreOutage> m_outage; ///< Shared by the watchers.
    RefreshLimiter m_configurationReads;
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_configurationSince;
    std::string m_configurationError;
    ReportedVersion m_reportedConfiguration;
    RegistrationsSync m_registrations;
    std::shared_ptr<StoreWatcher> m_routing;
    std::shared_ptr<StoreWatcher> m_weights;
};

} // namespace almondmill
