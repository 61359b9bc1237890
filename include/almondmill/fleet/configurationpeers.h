#pragma once

#include "almondmill/fleet/configurationoffer.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Calls to other routers about configuration. Each blocks for at most its timeout; nothing is
/// returned when the peer gave no answer.
class ConfigurationPeers
{
public:
    virtual ~ConfigurationPeers() = default;

    virtual std::optional<ConfigurationOffer> pull(const std::string &peer,
                                                   std::uint64_t haveVersion,
                                                   const std::vector<std::string> &haveParts,
                                                   std::chrono::milliseconds timeout) = 0;

    /// Version in force at the peer afterwards.
    virtual std::optional<std::uint64_t> push(const std::string &peer,
                                              const ConfigurationOffer &offer,
                                              std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
