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

/// Brings what the platform's store says into the context: the routing configuration, the
/// registrations and the weights named.
class StoreViews
{
public:
    /// `publish` passes on to the other routers what was read here; without registrations it tells
    /// versions only.
    using Publish = std::function<void(std::optional<StoreNews::Registrations>)>;

    StoreViews(ForwardingContext &context, AsyncStore &store, Publish publish);
    ~StoreViews();

    /// For how long the configuration has been in force; zero while there is none.
    std::chrono::milliseconds configurationAge(SteadyTime now) const;

    /// Why the newest configuration that was read is not in force; empty when it is.
    const std::string &unreadableConfiguration() const { return m_unreadable; }

    /// Follows the store from now on.
    void start();

    /// Takes over what another router read.
    void learn(const StoreNews &news);

    /// Takes over which versions of weights another router knows, and since when.
    void learnWeights(const std::vector<PeerMessage::Weights> &weights, const std::string &peer);

    /// Takes over which configuration another router has in force.
    void learnConfigurationVersion(std::uint64_t version);

private:
    void applyRouting(const StoredObject &object);
    void applyRegistrations(const ObjectList &list);
    void applyRegistrationEvents(const ObjectEvents &events);
    void applyWeightsTarget(const StoredObject &object, SteadyTime since);
    void followRouting();
    void followRegistrations();
    void followWeights();

    bool isReader() const;

    /// Whether entries that are missing may have lapsed while the store was away.
    bool keepsMissing() const;
    boost::asio::awaitable<void> endKeeping();
    void publishEvents(const ObjectEvents &events, std::uint64_t from);
    std::shared_ptr<StoreFollower> follow(StoreFollower::Options options,
                                          StoreFollower::Handlers handlers);

    ForwardingContext &m_context;
    AsyncStore &m_store;
    Publish m_publish;
    ReaderTurn m_turn;
    SteadyTime m_startedAt;
    std::optional<SteadyTime> m_configurationSince;
    std::string m_unreadable;
    SteadyTime m_keepUntil; ///< Entries that are missing are kept before.
    std::shared_ptr<StoreFollower> m_routing;
    std::shared_ptr<StoreFollower> m_registrations;
    std::shared_ptr<StoreFollower> m_weights;
};

} // namespace almondmill
