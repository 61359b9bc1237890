#pragma once

#include "almondmill/config/configurationdiff.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace almondmill {
class Findings;
}

namespace almondmill::cli {

/// Writes JSON and a newline to standard output.
void printJson(const nlohmann::json &json);

/// Findings and changes as JSON lists.
nlohmann::json toJson(const Findings &findings);
nlohmann::json toJson(const std::vector<EntryChange> &changes);

/// Changes as lines on standard output.
void printChanges(const std::vector<EntryChange> &changes);

} // namespace almondmill::cli
