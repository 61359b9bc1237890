#pragma once

#include <string>

namespace almondmill::test {

/// Exit code and output of a run of the operators' command line.
struct CommandResult
{
    int exitCode = -1;
    std::string output; ///< Standard output and error together.
};

/// Runs `almondmill` of this build. `arguments` is passed to the shell, so it must be quoted for
/// it.
CommandResult runAlmondmill(const std::string &arguments);

} // namespace almondmill::test
