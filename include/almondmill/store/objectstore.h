#pragma once

#include "almondmill/store/conditionalstore.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// The platform's object API. Implementations are thread-safe and report outages as results, never
/// as exceptions. Each call blocks for at most its timeout.
class ObjectStore : public ConditionalStore
{
public:
    /// Returns all objects whose names start with `prefix`.
    virtual ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) = 0;

    /// Waits at most `wait` for changes after `revision` of objects whose names start with
    /// `prefix`.
    virtual WatchResult watch(const std::string &prefix, std::uint64_t revision,
                              std::chrono::milliseconds wait) = 0;

    /// Returns Conflict if the object's version is not `expectedVersion`.
    virtual UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                                std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
