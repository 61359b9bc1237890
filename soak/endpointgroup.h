#pragma once

#include "soakhistory.h"

#include "standins/rietwerk/endpointobserver.h"
#include "standins/rietwerk/endpointplan.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::standin {
class FaultProxy;
namespace rietwerk {
class MetadataStore;
class RegisteredEndpoint;
} // namespace rietwerk
} // namespace almondmill::standin

namespace almondmill::soak {

/// The endpoints of a soak: places with an address, each taken by one lifetime after the other.
/// Records what runs there. Belongs to the event loop and must outlive its run.
class EndpointGroup : public standin::rietwerk::EndpointObserver
{
public:
    EndpointGroup(boost::asio::io_context &loop, SoakHistory &history,
                  standin::rietwerk::MetadataStore &store, std::string storeAddress);
    ~EndpointGroup() override;

    /// Adds a place of that service, with its first lifetime.
    void add(const std::string &place, const std::string &service, bool isEngine);

    std::size_t size() const { return m_places.size(); }
    const std::string &name(std::size_t place) const;
    standin::FaultProxy &link(std::size_t place);

    /// Weights with which engines start from now on.
    void setWeightsVersion(std::uint64_t version) { m_weightsVersion = version; }

    /// Ends the lifetime at once; another starts after `downFor`.
    boost::asio::awaitable<void> crash(std::size_t place, std::chrono::milliseconds downFor,
                                       bool sameId, bool otherService);

    /// The lifetime says that it leaves, serves on and ends; another takes its place.
    boost::asio::awaitable<void> replace(std::size_t place, std::chrono::milliseconds servesOn);

    /// Part of the requests fails for a while.
    boost::asio::awaitable<void> spoil(std::size_t place, double share,
                                       std::chrono::milliseconds lasts);

    /// Engines whose weights are older than `version`.
    std::vector<std::string> enginesBehind(std::uint64_t version) const;

private:
    using Lifetime = standin::rietwerk::RegisteredEndpoint;
    struct Place;

    void requestBegan(const standin::rietwerk::EndpointPlan &endpoint,
                      const standin::HttpRequest &request, std::uint64_t weightsVersion) override;
    void orderTaken(const standin::rietwerk::EndpointPlan &endpoint,
                    const standin::rietwerk::TakenOrder &order) override;

    void startLifetime(Place &place, bool sameId);
    bool saysThatItLeaves(const std::string &id) const;

    boost::asio::io_context &m_loop;
    SoakHistory &m_history;
    standin::rietwerk::MetadataStore &m_store;
    std::string m_storeAddress;
    std::uint64_t m_weightsVersion = 1;
    std::vector<std::unique_ptr<Place>> m_places;
    std::vector<std::unique_ptr<Lifetime>> m_lifetimes; ///< Ended ones too.
};

} // namespace almondmill::soak
