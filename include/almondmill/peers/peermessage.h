#pragma once

#include "almondmill/directory/weightstarget.h"
#include "almondmill/peers/endpointload.h"

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
};

/// Serializes a message to CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// Parses a message; returns nullopt when `bytes` is not a valid one.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace almondmill
