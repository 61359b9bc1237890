#pragma once

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Parses TOML text. On a syntax error, adds the finding "config.207" and returns an empty table.
toml::table parseToml(const std::string &text, const std::string &file, Findings &findings);

} // namespace almondmill
