#pragma once

#include "almondmill/directory/softwarehash.h"

#include <optional>
#include <variant>

namespace almondmill {

/// It is not known which versions of a service's software streams may have begun at.
struct UnknownSoftware
{};

/// All streams that may still go on began at this version.
struct SoleSoftware
{
    SoftwareHash software = 0;
};

/// Streams that may still go on began at several versions.
struct MixedSoftware
{};

/// What a router knows of the software that a service's endpoints have run lately.
using RecentSoftware = std::variant<UnknownSoftware, SoleSoftware, MixedSoftware>;

/// What two routers know together.
RecentSoftware merge(const RecentSoftware &first, const RecentSoftware &second);

/// The only version, if it is known that there was no other.
std::optional<SoftwareHash> soleSoftware(const RecentSoftware &recent);

} // namespace almondmill
