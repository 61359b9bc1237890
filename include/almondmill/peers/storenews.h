#pragma once

#include "almondmill/directory/registration.h"
#include "almondmill/peers/peermessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// What one router read from the platform's store, for all others: so few read it and all know.
struct StoreNews
{
    /// Changes of registrations between two revisions of the store.
    struct Registrations
    {
        std::uint64_t from = 0; ///< A router that knows this revision may apply the changes.
        std::uint64_t to = 0;
        std::vector<Registration> changed;
        std::vector<std::string> gone;
    };

    std::string origin; ///< Name of the router that read.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;      ///< Grows with each news of an incarnation.
    std::uint64_t configuration = 0; ///< Version in force at the origin.
    std::vector<PeerMessage::Weights> weights;
    std::vector<PeerMessage::Loading> loading;  ///< Engines that carry out the origin's orders.
    std::optional<Registrations> registrations; ///< Nothing when the origin did not read them.
};

/// The news as CBOR.
std::string encodeStoreNews(const StoreNews &news);

/// The reverse; nothing when the bytes are no news.
std::optional<StoreNews> decodeStoreNews(std::string_view bytes);

} // namespace almondmill
