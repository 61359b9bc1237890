#pragma once

#include "almondmill/directory/registration.h"
#include "almondmill/forward/connectionpool.h"
#include "almondmill/forward/endpointhealth.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/endpointload.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

namespace almondmill {

/// One lifetime of an endpoint as this router sees it: what it registered, what its answers showed,
/// and the connections kept to it. Belongs to the event loop.
class EndpointView
{
public:
    explicit EndpointView(Registration registration);

    const Registration &registration() const { return m_registration; }
    const std::string &id() const { return m_registration.id; }
    const boost::asio::ip::tcp::endpoint &address() const { return m_address; }

    /// Whether `registration` is of this lifetime at this address.
    bool isSameLifetime(const Registration &registration) const;

    /// Takes over what the same lifetime registered anew.
    void update(Registration registration);

    bool takesRequests() const { return !m_registration.draining && !m_gone; }

    /// The entry is gone: no new requests, no kept connections.
    void retire();

    /// Version of the model's weights; nothing when the endpoint doesn't serve the model.
    std::optional<std::uint64_t> weightsVersion(std::string_view model) const;
    /// Takes over what an answer showed.
    void setWeightsVersion(std::string_view model, std::uint64_t version);

    /// Requests that this router has open there.
    std::uint32_t openRequests() const { return m_openRequests; }

    /// This router's load there at this moment.
    EndpointLoad load() const;

    void requestOpened(std::uint64_t tokens);
    void requestClosed(std::uint64_t tokens);

    void readingStarted(std::uint64_t tokens) { m_unreadTokens += tokens; }
    void readingEnded(std::uint64_t tokens) { m_unreadTokens -= tokens; }

    /// This router's load there, averaged over about a second up to `now`.
    EndpointLoad averageLoad(SteadyTime now);

    /// The same as of the last call.
    const EndpointLoad &lastAverage() const { return m_average; }

    /// No requests should go there before: the endpoint carries out an order of this router.
    SteadyTime loadingUntil() const { return m_loadingUntil; }
    void setLoadingUntil(SteadyTime until) { m_loadingUntil = until; }

    EndpointHealth &health() { return m_health; }
    const EndpointHealth &health() const { return m_health; }
    ConnectionPool &connections() { return m_connections; }

private:
    Registration m_registration;
    boost::asio::ip::tcp::endpoint m_address;
    std::vector<ServedModel> m_shown; ///< Versions that answers showed since they registered.
    bool m_gone = false;
    std::uint32_t m_openRequests = 0;
    std::uint64_t m_unreadTokens = 0;
    std::uint64_t m_heldTokens = 0;
    EndpointLoad m_average;
    SteadyTime m_averagedAt;
    SteadyTime m_loadingUntil;
    EndpointHealth m_health;
    ConnectionPool m_connections;
};

} // namespace almondmill
