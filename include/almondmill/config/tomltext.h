#pragma once

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Parses TOML text; a syntax error becomes a finding "config.207" and an empty table.
toml::table parseToml(const std::string &text, const std::string &file, Findings &findings);

} // namespace almondmill
