#pragma once

namespace almondmill::cli {

/// Exit codes of the command line. The footer of its help text documents them.
enum ExitCode {
    ExitOk = 0,
    /// diff: the files differ. status: a router is behind, refuses a version or was not reached, or
    /// the accepted version cannot be read or is older than the one in force.
    ExitDiffers = 1,
    ExitInvalidInput = 2, ///< The arguments or files are not valid.
    ExitConflict = 3,     ///< Another submission was accepted first.
    ExitUnavailable = 4,  ///< The platform or a router did not answer; nothing was changed.
    ExitUnknown = 5,      ///< Whether the change took effect is unknown.
};

} // namespace almondmill::cli
