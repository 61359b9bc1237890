#pragma once

#include "almondmill/directory/registration.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondmill {

/// What changes in the entry of a running endpoint: whether it drains, and the versions of its
/// models. The rest of the entry is identified by a hash, for a receiver that knows it.
struct RegistrationDelta
{
    std::uint32_t endpoint = 0; ///< Short hash of the endpoint's id.
    std::uint32_t rest = 0;     ///< See unchangingHash.
    bool draining = false;
    std::vector<std::uint64_t> versions; ///< Of the models, in the order of the entry.
    std::uint64_t revision = 0;
};

/// Whether the entries that the deltas were made of differ in nothing but their revision.
bool isRenewal(const RegistrationDelta &before, const RegistrationDelta &after);

/// Hash of the fields that a delta does not carry.
std::uint32_t unchangingHash(const Registration &entry);

RegistrationDelta deltaOf(const Registration &entry);

/// The entry after the change; nothing when the delta belongs to another entry than `known`.
std::optional<Registration> applyDelta(const RegistrationDelta &delta, const Registration &known);

} // namespace almondmill
