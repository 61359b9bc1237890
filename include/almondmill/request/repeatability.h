#pragma once

#include <string>

namespace almondmill {

struct Service;

/// How often a call to a plain service may be sent.
enum class Repeatability {
    AtMostOnce, ///< The inventory lists it: claimed when it has a key.
    SentOnce,   ///< Not listed, but its method is not idempotent by the HTTP standard (RFC 9110).
    Repeatable,
};

/// Decides by the service's list and the method. A listed path counts however it is spelt: with
/// doubled slashes, "." or ".." segments.
Repeatability repeatability(const Service &service, const std::string &method,
                            const std::string &path);

/// `path` without empty and "." segments, and with ".." segments resolved.
std::string normalPath(const std::string &path);

} // namespace almondmill
