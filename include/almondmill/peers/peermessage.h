#pragma once

#include "almondmill/directory/weightstarget.h"
#include "almondmill/peers/endpointload.h"
#include "almondmill/peers/performancereport.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// State that a router sends to its peers. Each message carries the complete state, so a lost
/// message is replaced by the next one.
struct PeerMessage
{
    /// Load that the sender places on one endpoint.
    struct Load
    {
        std::uint32_t endpoint = 0; ///< Short hash of the endpoint's id.
        EndpointLoad load;
    };

    /// An engine that is carrying out an order to load weights.
    struct LoadingEngine
    {
        std::uint32_t endpoint = 0;            ///< Short hash of the endpoint's id.
        std::chrono::milliseconds timeLeft{0}; ///< Time in which it should get no requests.
    };

    /// What the sender knows of a service as a whole.
    struct Service
    {
        std::uint32_t service = 0; ///< Short hash of the service's name.
        ServiceSamples samples;
        /// The sender's open requests by level of urgency, averaged like the loads. Levels after
        /// the last one have none.
        std::vector<double> openByLevel;
    };

    /// An endpoint whose speed differs from that of its service.
    struct EndpointSpeed
    {
        std::uint32_t endpoint = 0; ///< Short hash of the endpoint's id.
        EndpointSamples samples;
    };

    /// A named version of a model's weights.
    struct Weights
    {
        WeightsTarget target;
        std::chrono::milliseconds knownFor{0}; ///< Time since the sender learned of it.
    };

    std::string sender; ///< Name of the router.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    bool leaving = false;
    std::uint64_t configuration = 0; ///< Version that is in force.
    std::vector<Weights> weights;
    std::vector<Load> loads;
    std::vector<LoadingEngine> loading;
    std::vector<Service> services;
    std::vector<EndpointSpeed> speeds;
};

/// Serializes a message to CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Parses a message; returns nullopt when `bytes` is not a valid one.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace almondmill
