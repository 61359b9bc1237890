#pragma once

#include <string>

namespace almondmill::test {

/// What a run of the operators' command line gave.
struct CommandResult
{
    int exitCode = -1;
    std::string output; ///< Standard output and error together.
};

/// Runs `almondmill` of this build with arguments written as for a shell.
CommandResult runAlmondmill(const std::string &arguments);

} // namespace almondmill::test
