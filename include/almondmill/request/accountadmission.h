#pragma once

#include "almondmill/admission/accountgrant.h"

#include <cstdint>
#include <memory>

namespace almondmill {

struct Node;
struct RequestContext;

/// Admits the request under the limits of its client account. The request counts towards these
/// limits until the returned grant is destroyed. Throws RefusedError with status 429 when a limit
/// is reached. Returns null when the router enforces no account limits.
std::shared_ptr<AccountGrant> admitByAccount(Node &node, const RequestContext &context,
                                             std::size_t promptBytes);

} // namespace almondmill
