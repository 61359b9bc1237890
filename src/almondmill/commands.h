#pragma once

#include <CLI/CLI.hpp>

namespace almondmill::cli {

/// Each adds one subcommand to `app`; running it sets `exitCode`.
void addCheck(CLI::App &app, int &exitCode);
void addSubmit(CLI::App &app, int &exitCode);
void addShow(CLI::App &app, int &exitCode);
void addDiff(CLI::App &app, int &exitCode);
void addStatus(CLI::App &app, int &exitCode);
void addDump(CLI::App &app, int &exitCode);
void addDrain(CLI::App &app, int &exitCode);
void addUndrain(CLI::App &app, int &exitCode);

} // namespace almondmill::cli
