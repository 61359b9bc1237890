#pragma once

#include "almondmill/config/configurationfiles.h"

#include <CLI/CLI.hpp>

#include <string>

namespace almondmill::cli {

/// Options that several subcommands share. Each `add` function adds some of them to a subcommand.
struct Options
{
    std::string inventory;
    std::string rules;
    std::string platform;
    std::string submitter;
    bool json = false;

    void addFiles(CLI::App &command);
    void addPlatform(CLI::App &command);
    void addSubmitter(CLI::App &command);
    void addJson(CLI::App &command);

    /// Loads the inventory and rules files. Throws the same errors as `loadConfigurationFiles`.
    ParsedConfiguration load() const;
};

} // namespace almondmill::cli
