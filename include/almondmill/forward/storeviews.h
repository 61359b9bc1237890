#pragma once

#include "almondmill/directory/storefollower.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/readerturn.h"
#include "almondmill/peers/storenews.h"
#include "almondmill/store/readresult.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondmill {

class AsyncStore;
struct ForwardingContext;
struct ObjectEvents;

/// Follows the platform's store and applies its contents to the forwarding context: the routing
/// configuration, the endpoint registrations and the named versions of weights.
class StoreViews
{
public:
    /// Sends what was read here to the other routers; without registrations, versions only.
    using Publish = std::function<void(std::optional<StoreNews::Registrations>)>;

    StoreViews(ForwardingContext &context, AsyncStore &store, Publish publish);
    ~StoreViews();

    /// Time for which the configuration has been in force; zero while there is none.
    std::chrono::milliseconds configurationAge(SteadyTime now) const;

    /// Why the newest configuration that was read could not be applied; empty when it is in force.
    const std::string &unreadableConfiguration() const { return m_configurationError; }

    /// Starts following the store.
    void start();

    /// Applies an update that another router read from the store.
    void learn(const StoreNews &news);

    /// Applies the versions of weights that another router reports, and since when each is known.
    void learnWeights(const std::vector<PeerMessage::Weights> &weights, const std::string &peer);

    /// Reads the configuration again when another router has a newer version in force.
    void learnConfigurationVersion(std::uint64_t version);

private:
    void applyRouting(const StoredObject &object);
    void applyRegistrations(const ObjectList &list);
    void applyRegistrationEvents(const ObjectEvents &events);
    void applyWeightsTarget(const StoredObject &object, SteadyTime since);
    void followRouting();
    void followRegistrations();
    void followWeights();

    /// Whether this router is elected to read the store itself.
    bool isReader() const;

    /// Whether missing entries are retained, as they may have expired while the store was
    /// unreachable.
    bool retainsMissing() const;
    /// Lists the registrations again when missing entries are no longer retained.
    boost::asio::awaitable<void> refreshAfterRetention();
    void publishEvents(const ObjectEvents &events, std::uint64_t from);
    std::shared_ptr<StoreFollower> follow(StoreFollower::Options options,
                                          StoreFollower::Handlers handlers);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Publish m_publish;
    ReaderTurn m_readerElection;
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_configurationSince;
    std::string m_configurationError;
    SteadyTime m_retainMissingUntil; ///< Until then missing entries are retained.
    std::shared_ptr<StoreFollower> m_routing;
    std::shared_ptr<StoreFollower> m_registrations;
    std::shared_ptr<StoreFollower> m_weights;
};

} // namespace almondmill
