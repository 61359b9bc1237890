#include "options.h"

#include <CLI/CLI.hpp>

#include <cstdlib>

namespace almondmill::cli {

namespace {

std::string loginName()
{
    const char *name = std::getenv("LOGNAME");
    return name && *name != '\0' ? name : "unknown";
}

} // namespace

void Options::addFiles(CLI::App &command)
{
    command.add_option("--inventory", inventory, "inventory in TOML")->required();
    command.add_option("--rules", rules, "rules in TOML")->required();
}

void Options::addPlatform(CLI::App &command)
{
    command.add_option("--platform", platform, "base URL of the platform")->required();
}

void Options::addSubmitter(CLI::App &command)
{
    submitter = loginName();
    command.add_option("--as", submitter,
                       "name of the submitter, shown to operators whose submissions conflict with "
                       "this one")
            ->capture_default_str();
}

void Options::addJson(CLI::App &command)
{
    command.add_flag("--json", json, "print one JSON object to standard output");
}

ParsedConfiguration Options::load() const
{
    return loadConfigurationFiles(inventory, rules);
}

} // namespace almondmill::cli
