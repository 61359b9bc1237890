#pragma once

#include "almondmill/config/rules.h"

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Parses rules from TOML text. Errors are added to `findings`; the result is meaningful only if
/// there are none.
Rules parseRules(const std::string &text, const std::string &file, Findings &findings);

/// Reads rules from a TOML table that is already parsed.
Rules readRules(const toml::table &table, const std::string &file, Findings &findings);

} // namespace almondmill
