#pragma once

#include "almondmill/store/readresult.h"
#include "almondmill/store/updateresult.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

/// Single objects with conditional updates. Safe to call from several threads; an outage is one of
/// the results, never an exception. Each call blocks for at most its timeout.
class ConditionalStore
{
public:
    virtual ~ConditionalStore() = default;

    virtual ReadResult read(const std::string &name, std::chrono::milliseconds timeout) = 0;

    /// Conflict when an object of that name exists.
    virtual UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                        std::chrono::milliseconds timeout) = 0;

    /// Conflict when the object's version is not `expectedVersion`.
    virtual UpdateResult update(const std::string &name, const std::string &value,
                                std::uint64_t expectedVersion,
                                std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
