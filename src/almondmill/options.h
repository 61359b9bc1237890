#pragma once

#include "almondmill/config/configurationfiles.h"

#include <CLI/CLI.hpp>

#include <string>

namespace almondmill::cli {

/// Options that several subcommands take.
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

    /// The files named. Throws as loadConfigurationFiles.
    ParsedConfiguration load() const;
};

} // namespace almondmill::cli
