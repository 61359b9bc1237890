#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace almondmill::soak {

/// Replaces the placeholders "{{a.b}}" and "{{a.0}}" of a deployment's settings template by the
/// values of `fields`. Throws Error "soak.101" when a field is missing.
std::string fillTemplate(const std::string &text, const nlohmann::json &fields);

} // namespace almondmill::soak
