#pragma once

#include "almondmill/claims/claim.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace almondmill {

/// The platform holds values up to a megabyte; a claim with its answer stays below it.
constexpr std::size_t MostClaimBytes = 1000000;

constexpr const char *ClaimPrefix = "claims/";

/// Name of the claim object of a call: a hash of client account and key, so that keys of two
/// accounts never meet and neither can be read from the name.
std::string claimName(std::string_view clientAccount, std::string_view key);

/// Hash that two calls share only when method, target and body are the same.
std::string callFingerprint(std::string_view method, std::string_view target,
                            std::string_view body);

/// The claim as text. A body that would make it longer than MostClaimBytes is left out, and the
/// answer says so.
std::string encodeClaim(const Claim &claim);

/// The reverse. Throws Error "claims.101" when the text is not a claim.
Claim decodeClaim(const std::string &text);

} // namespace almondmill
