#pragma once

#include "almondmill/config/rules.h"

#include <string>
#include <toml++/toml.h>

namespace almondmill {

class Findings;

/// Reads rules from TOML text. What is wrong goes to `findings`; the result is only of use when
/// nothing was found.
Rules parseRules(const std::string &text, const std::string &file, Findings &findings);

/// The same from a table that was parsed before.
Rules readRules(const toml::table &table, const std::string &file, Findings &findings);

} // namespace almondmill
