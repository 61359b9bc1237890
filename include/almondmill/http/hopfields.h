#pragma once

#include <string_view>

namespace almondmill {

class HttpFields;

/// Whether a field concerns only the connection it came on (RFC 9110, 7.6.1): one of the known
/// names or one that `fields` lists under Connection.
bool isHopField(std::string_view name, const HttpFields &fields);

/// Whether the Connection field of `fields` lists `option`, such as "close".
bool hasConnectionOption(const HttpFields &fields, std::string_view option);

} // namespace almondmill
