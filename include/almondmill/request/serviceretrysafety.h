#pragma once

#include <string>

namespace almondmill {

struct Service;

/// Whether a call to a plain service may be retried.
enum class ServiceRetrySafety {
    AtMostOnce,    ///< Listed in the inventory; claimed when it has an idempotency key.
    NonIdempotent, ///< Not listed, but its method is not idempotent (RFC 9110).
    Repeatable,
};

/// Decides by the service's list and the method. Paths are normalized before the comparison, so
/// that doubled slashes or "." and ".." segments do not bypass the list.
ServiceRetrySafety serviceRetrySafety(const Service &service, const std::string &method,
                                      const std::string &path);

/// Returns `path` without empty and "." segments and with ".." segments resolved.
std::string normalizedPath(const std::string &path);

} // namespace almondmill
