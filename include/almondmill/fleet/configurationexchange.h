#pragma once

#include "almondmill/fleet/configurationoffer.h"

#include <string>
#include <vector>

namespace almondmill {

/// Answers what other routers ask and tell about configuration. Called from the peers' listener.
class ConfigurationExchange
{
public:
    virtual ~ConfigurationExchange() = default;

    /// What this router has, if newer than `haveVersion`; version zero otherwise.
    virtual ConfigurationOffer answerPull(std::uint64_t haveVersion,
                                          const std::vector<std::string> &haveParts) = 0;

    /// Takes an offer in if it is newer and valid; returns the version now in force here.
    virtual std::uint64_t acceptPush(const ConfigurationOffer &offer) = 0;

    /// A heartbeat told that `peer` has `version` in force. Must not block.
    virtual void heardVersion(const std::string &peer, std::uint64_t version) = 0;
};

} // namespace almondmill
