#pragma once

#include <CLI/CLI.hpp>

namespace almondmill::cli {

/// Each function adds one subcommand to `app`. Running the subcommand sets `exitCode`.
void addCheck(CLI::App &app, int &exitCode);
void addSubmit(CLI::App &app, int &exitCode);
void addShow(CLI::App &app, int &exitCode);
void addDiff(CLI::App &app, int &exitCode);
void addStatus(CLI::App &app, int &exitCode);
void addDump(CLI::App &app, int &exitCode);
void addDrain(CLI::App &app, int &exitCode);
void addUndrain(CLI::App &app, int &exitCode);

} // namespace almondmill::cli
