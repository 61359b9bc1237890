#pragma once

#include "almondmill/store/conditionalstore.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// The platform's object API. Implementations are safe to call from several threads and never throw
/// for an outage: it is one of the results. Each call blocks for at most its timeout.
class ObjectStore : public ConditionalStore
{
public:
    virtual ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) = 0;

    /// Waits until an object under `prefix` changes after `revision`, for at most `wait`.
    virtual WatchResult watch(const std::string &prefix, std::uint64_t revision,
                              std::chrono::milliseconds wait) = 0;

    /// Conflict when the object's version is not `expectedVersion`.
    virtual UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                                std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
