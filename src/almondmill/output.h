#pragma once

#include "almondmill/config/configurationdiff.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondmill {
class Findings;
}

namespace almondmill::cli {

/// Writes indented JSON and a newline to standard output.
void printJson(const nlohmann::json &json);

/// Converts findings or changes to a JSON array.
nlohmann::json toJson(const Findings &findings);
nlohmann::json toJson(const std::vector<EntryChange> &changes);

/// Writes one line for each changed entry to standard output.
void printChanges(const std::vector<EntryChange> &changes);

} // namespace almondmill::cli
