#pragma once

#include "almondmill/directory/registration.h"
#include "almondmill/directory/registrationdelta.h"
#include "almondmill/peers/peermessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// What one router read from the platform's store, broadcast to all others, so that only a few
/// routers have to read the store.
struct StoreUpdate
{
    /// Changes of registrations between two revisions of the store.
    struct Registrations
    {
        std::uint64_t from = 0; ///< The changes apply to a directory at this revision or later.
        std::uint64_t to = 0;
        std::vector<Registration> changed;
        std::vector<std::string> gone;
        /// Time for which the origin retains entries that are missing since an outage.
        std::chrono::milliseconds retention{0};
        /// Time for which the store has answered the origin without an interruption.
        std::chrono::milliseconds answeringFor{0};
        /// Changes of entries whose other fields receivers know, unless an update was lost.
        std::vector<RegistrationDelta> deltas = {};
    };

    std::string origin; ///< Name of the router that read the store.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;      ///< Increases with each update of an incarnation.
    std::uint64_t configuration = 0; ///< Version in force at the origin.
    std::vector<PeerMessage::Weights> weights;
    std::vector<PeerMessage::LoadingEngine>
            loading; ///< Engines that are loading on the origin's orders.
    std::optional<Registrations> registrations; ///< Unset when the origin did not read them.
};

/// Serializes an update to CBOR.
std::string encodeStoreUpdate(const StoreUpdate &update);

/// Parses an update; returns nullopt when `bytes` is not a valid one.
std::optional<StoreUpdate> decodeStoreUpdate(std::string_view bytes);

} // namespace almondmill
