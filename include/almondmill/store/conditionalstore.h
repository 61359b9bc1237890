#pragma once

#include "almondmill/store/readresult.h"
#include "almondmill/store/updateresult.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// Object store with reads and conditional updates of single objects. Thread-safe. Outages are
/// reported as results, never as exceptions. Each call blocks for at most its timeout.
class ConditionalStore
{
public:
    virtual ~ConditionalStore() = default;

    virtual ReadResult read(const std::string &name, std::chrono::milliseconds timeout) = 0;

    /// Returns Conflict if an object of that name exists.
    virtual UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                        std::chrono::milliseconds timeout) = 0;

    /// Returns Conflict if the object's version is not `expectedVersion`.
    virtual UpdateResult update(const std::string &name, const std::string &value,
                                std::uint64_t expectedVersion,
                                std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
