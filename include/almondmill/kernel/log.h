#pragma once

#include <string>

namespace almondmill {

/// How much is logged.
enum class LogLevel { Debug, Info, Warning, Error };

/// Sets level and output (standard error) once per process. Calls before it log at Warning.
void setUpLog(LogLevel level);

/// Writes one short sentence with the part's fixed prefix, such as "fleet: member left".
void log(LogLevel level, const char *part, const std::string &sentence);

} // namespace almondmill
