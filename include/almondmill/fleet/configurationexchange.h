#pragma once

#include "almondmill/fleet/configurationoffer.h"

#include <string>
#include <vector>

namespace almondmill {

/// Handles the configuration calls of other routers. Called from the threads of the peer listener.
class ConfigurationExchange
{
public:
    virtual ~ConfigurationExchange() = default;

    /// The configuration of this router without the parts in `haveParts`, or version zero if it is
    /// not newer than `haveVersion`.
    virtual ConfigurationOffer answerPull(std::uint64_t haveVersion,
                                          const std::vector<std::string> &haveParts) = 0;

    /// Applies the offered configuration if it is newer and valid. Returns the version in force at
    /// this router afterwards.
    virtual std::uint64_t acceptPush(const ConfigurationOffer &offer) = 0;

    /// Records the version that `peer` reports in a heartbeat as in force there. Must not block.
    virtual void recordPeerVersion(const std::string &peer, std::uint64_t version) = 0;
};

} // namespace almondmill
