#pragma once

#include "almondmill/directory/softwarehash.h"
#include "almondmill/forward/recentsoftware.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace almondmill {

struct Registration;

/// Remembers which versions of its software each service's endpoints have run lately, so that a
/// router can tell whether a stream of unknown origin can only have begun at one of them. Times are
/// on the boot clock.
class SoftwareHistory
{
public:
    /// Callers take a stream up again within this time after its endpoint's registration is gone:
    /// endpoints serve on for many seconds after that.
    static constexpr std::chrono::seconds Retention{60};

    /// An endpoint was registered.
    void added(const Registration &entry, SteadyTime now);

    /// An endpoint's registration is gone.
    void removed(const Registration &entry, SteadyTime now);

    /// What is known of the service with that short hash.
    RecentSoftware recent(std::uint32_t service, SteadyTime now) const;

private:
    struct Version
    {
        std::size_t endpoints = 0;
        SteadyTime lastSeen;
    };

    struct Service
    {
        SteadyTime knownSince;
        absl::flat_hash_map<SoftwareHash, Version> versions;
    };

    static bool isRecent(const Version &version, SteadyTime now);

    absl::flat_hash_map<std::uint32_t, Service> m_services; ///< By the service's short hash.
};

} // namespace almondmill
