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

/// What one router tells others of itself. All of it is in each message, so that a lost one is made
/// good by the next.
struct PeerMessage
{
    /// Load on one endpoint.
    struct Load
    {
        std::uint32_t endpoint = 0; ///< Short hash of the endpoint's id.
        EndpointLoad load;
    };

    /// An engine that carries out an order.
    struct Loading
    {
        std::uint32_t endpoint = 0;            ///< As above.
        std::chrono::milliseconds timeLeft{0}; ///< For which no requests should go there.
    };

    /// A version of a model's weights.
    struct Weights
    {
        WeightsTarget target;
        std::chrono::milliseconds knownFor{0}; ///< Since the sender heard that it was named.
    };

    std::string sender; ///< Name of the router.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Grows with each message of an incarnation.
    bool leaving = false;
    std::uint64_t configuration = 0; ///< Version in force.
    std::vector<Weights> weights;
    std::vector<Load> loads;
    std::vector<Loading> loading;
};

/// Short name of an endpoint in messages.
std::uint32_t shortHash(std::string_view endpointId);

/// The message as CBOR.
std::string encodePeerMessage(const PeerMessage &message);

/// The reverse; nothing when the bytes are no message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

} // namespace almondmill
