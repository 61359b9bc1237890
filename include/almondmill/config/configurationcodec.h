#pragma once

#include "almondmill/config/inventory.h"
#include "almondmill/config/rules.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace almondmill {

/// The entries of inventory and rules as canonical JSON text: equal entries in the same order give
/// equal bytes. Scalar rules are not part of it.
std::string encodeEntries(const Inventory &inventory, const Rules &rules);

/// The reverse. Throws Error "config.301" when the text is not such JSON.
void decodeEntries(const std::string &text, Inventory &inventory, Rules &rules);

/// One entry as JSON, for diffs and for the command line.
void to_json(nlohmann::json &json, const DataCentre &dataCentre);
void to_json(nlohmann::json &json, const Model &model);
void to_json(nlohmann::json &json, const Service &service);
void to_json(nlohmann::json &json, const Endpoint &endpoint);
void to_json(nlohmann::json &json, const ClientAccount &account);

} // namespace almondmill
