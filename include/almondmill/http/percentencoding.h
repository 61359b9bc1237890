#pragma once

#include <string>
#include <string_view>

namespace almondmill {

/// Percent-encodes all bytes of `text` other than the unreserved characters of RFC 3986, for use as
/// one path segment or as the value of a query field. Complexity: linear.
std::string percentEncoded(std::string_view text);

/// Like `percentEncoded`, but keeps the slashes between the segments of a path.
std::string percentEncodedPath(std::string_view path);

} // namespace almondmill
