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

/// An endpoint's entry in the platform's store, written by the endpoint itself.
struct Registration
{
    std::string id;
    std::chrono::milliseconds startedAt{0}; ///< Unix time; with the id, names the incarnation.
    std::string service;
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Requests that it runs concurrently.
    bool draining = false;   ///< Takes no new requests.
    std::vector<ServedModel> models;
    std::uint64_t orderCount = 0;     ///< Orders that it has accepted in this incarnation.
    std::uint64_t revision = 0;       ///< Revision of the store at which the entry was written.
    std::string softwareVersion = {}; ///< Of the endpoint's program, not of the weights.
};

} // namespace almondmill
