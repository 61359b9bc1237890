#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// The weights of one model that an endpoint serves.
struct ServedModel
{
    std::string name;
    std::uint64_t weightsVersion = 0;
};

/// What an endpoint says of itself in the platform's store.
struct Registration
{
    std::string id;
    std::chrono::milliseconds startedAt{0}; ///< Unix time; with the id it names one lifetime.
    std::string service;
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs at once.
    bool draining = false;   ///< Takes no new requests.
    std::vector<ServedModel> models;
    std::uint64_t orderCount = 0; ///< Orders that it has accepted in this lifetime.
};

} // namespace almondmill
