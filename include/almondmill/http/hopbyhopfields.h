#pragma once

#include <string_view>

namespace almondmill {

class HttpFields;

/// Returns whether `name` is a hop-by-hop field, which must not be forwarded (RFC 9110,
/// section 7.6.1): a well-known one or one that the Connection field of `fields` lists.
bool isHopByHopField(std::string_view name, const HttpFields &fields);

/// Returns whether a Connection field of `fields` lists `option`, such as "close".
bool hasConnectionOption(const HttpFields &fields, std::string_view option);

} // namespace almondmill
