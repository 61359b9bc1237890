#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace almondmill::cli {

/// State of the router whose operators' listener is at "IP:port"; nothing when it gives no answer.
std::optional<nlohmann::json> readDump(const std::string &address);

/// Sends an order such as "/drain". Returns whether the router took it.
bool sendOrder(const std::string &address, const std::string &path);

} // namespace almondmill::cli
