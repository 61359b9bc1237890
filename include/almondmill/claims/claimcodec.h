#pragma once

#include "almondmill/claims/claim.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace almondmill {

/// Limit of an encoded claim with its answer. The platform stores values of up to one megabyte.
constexpr std::size_t MaxClaimBytes = 1000000;

constexpr const char *ClaimPrefix = "claims/";

/// Name of the claim object of a call: a hash of client account and key. Equal keys of two accounts
/// give different names, and neither value can be recovered from the name.
std::string claimName(std::string_view clientAccount, std::string_view key);

/// Hash that is equal for two calls only when method, target and body are equal.
std::string callFingerprint(std::string_view method, std::string_view target,
                            std::string_view body);

/// Encodes a claim as JSON text. When the text would be longer than MaxClaimBytes, the headers and
/// the body of the answer are omitted and `bodyKept` is false.
std::string encodeClaim(const Claim &claim);

/// Decodes the text of `encodeClaim`. Throws Error "claims.101" when it is not a valid claim.
Claim decodeClaim(const std::string &text);

} // namespace almondmill
