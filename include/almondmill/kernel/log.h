#pragma once

#include <string>

namespace almondmill {

/// Severity of a log message.
enum class LogLevel { Debug, Info, Warning, Error };

/// Sets the minimum level of the log, which goes to standard error. Called once per process; until
/// then the level is Warning.
void setUpLog(LogLevel level);

/// Logs `message` with the component's name as prefix, such as "fleet: member left".
void log(LogLevel level, const char *component, const std::string &message);

} // namespace almondmill
