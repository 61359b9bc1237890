#pragma once

#include "almondmill/directory/registration.h"
#include "almondmill/directory/softwarehash.h"
#include "almondmill/forward/connectionpool.h"
#include "almondmill/forward/endpointavailability.h"
#include "almondmill/forward/endpointhealth.h"
#include "almondmill/forward/endpointperformance.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/endpointload.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace almondmill {

/// This router's state for one incarnation of an endpoint: its registration, what its answers
/// showed, and the open connections to it. Used by the event loop only; not thread-safe.
class EndpointView
{
public:
    explicit EndpointView(Registration registration,
                          std::shared_ptr<EndpointAvailability> availability =
                                  std::make_shared<EndpointAvailability>());

    const Registration &registration() const { return m_registration; }
    const std::string &id() const { return m_registration.id; }
    /// See incarnationHash.
    std::uint64_t incarnation() const { return m_incarnation; }
    const boost::asio::ip::tcp::endpoint &address() const { return m_address; }

    /// Of the endpoint's service and version.
    SoftwareHash software() const { return m_software; }

    /// Whether `registration` belongs to this incarnation, at the same address.
    bool isSameIncarnation(const Registration &registration) const;

    /// Applies a newer registration of the same incarnation.
    void update(Registration registration);

    bool takesRequests() const { return !m_registration.draining && !m_retired; }

    /// Called when the registration is removed: no new requests, and idle connections are closed.
    void retire();

    /// Version of the model's weights; nothing when the endpoint doesn't serve the model.
    std::optional<std::uint64_t> weightsVersion(std::string_view model) const;
    /// Applies the version that an answer showed.
    void setWeightsVersion(std::string_view model, std::uint64_t version);

    /// Requests that this router has open at the endpoint.
    std::uint32_t openRequests() const { return m_openRequests; }

    /// This router's current load on the endpoint.
    EndpointLoad load() const;

    void requestOpened(std::uint64_t tokens);
    void requestClosed(std::uint64_t tokens);

    /// A prompt of `tokens` waits for its first event from here on.
    void prefillStarted(std::uint64_t tokens) { m_pendingPrefillTokens += tokens; }
    void prefillEnded(std::uint64_t tokens) { m_pendingPrefillTokens -= tokens; }

    /// This router's load on the endpoint, averaged over about one second up to `now`.
    EndpointLoad averageLoad(SteadyTime now);

    /// Result of the last call of `averageLoad`.
    const EndpointLoad &lastAverage() const { return m_average; }

    /// Load that the other routers place on the endpoint, as last estimated.
    const EndpointLoad &peerLoad() const { return m_peerLoad; }
    void setPeerLoad(const EndpointLoad &load) { m_peerLoad = load; }

    /// Until then no requests should be sent, as the endpoint loads weights on this router's order.
    SteadyTime loadingUntil() const { return m_loadingUntil; }
    void setLoadingUntil(SteadyTime until) { m_loadingUntil = until; }

    EndpointHealth &health() { return m_health; }
    const EndpointHealth &health() const { return m_health; }
    EndpointPerformance &performance() { return m_performance; }
    const EndpointPerformance &performance() const { return m_performance; }
    EndpointAvailability &availability() { return *m_availability; }
    const EndpointAvailability &availability() const { return *m_availability; }
    ConnectionPool &connections() { return m_connections; }

private:
    Registration m_registration;
    std::uint64_t m_incarnation = 0;
    SoftwareHash m_software = 0;
    boost::asio::ip::tcp::endpoint m_address;
    /// Versions that answers showed after the registration.
    std::vector<ServedModel> m_observedVersions;
    bool m_retired = false;
    std::uint32_t m_openRequests = 0;
    std::uint64_t m_pendingPrefillTokens = 0;
    std::uint64_t m_heldTokens = 0;
    EndpointLoad m_average;
    EndpointLoad m_peerLoad;
    SteadyTime m_averagedAt;
    SteadyTime m_loadingUntil;
    EndpointHealth m_health;
    EndpointPerformance m_performance;
    std::shared_ptr<EndpointAvailability> m_availability; ///< Never null.
    ConnectionPool m_connections;
};

} // namespace almondmill
