#pragma once

#include "almondmill/fleet/configurationoffer.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Client side of the configuration exchange between routers. Each call blocks for at most its
/// timeout and returns `std::nullopt` if it failed or timed out.
class ConfigurationPeers
{
public:
    virtual ~ConfigurationPeers() = default;

    /// Fetches the configuration of `peer` if it is newer than `haveVersion`, without the parts in
    /// `haveParts`. The offer has version zero if the peer has no newer one.
    virtual std::optional<ConfigurationOffer> pull(const std::string &peer,
                                                   std::uint64_t haveVersion,
                                                   const std::vector<std::string> &haveParts,
                                                   std::chrono::milliseconds timeout) = 0;

    /// Sends a configuration to `peer`. Returns the version in force there afterwards.
    virtual std::optional<std::uint64_t> push(const std::string &peer,
                                              const ConfigurationOffer &offer,
                                              std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
