#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace almondmill::cli {

/// Reads the state of the router whose operators' listener is at `address`, an "IP:port". Returns
/// nothing if the router does not answer with status 200 and a JSON object.
std::optional<nlohmann::json> readDump(const std::string &address);

/// Posts an operator's command such as "/drain". Returns whether the router answered with status
/// 200.
bool postCommand(const std::string &address, const std::string &path);

} // namespace almondmill::cli
