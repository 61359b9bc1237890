#pragma once

#include "almondmill/admission/accountgrant.h"

#include <cstdint>
#include <memory>

namespace almondmill {

struct Node;
struct RequestContext;

/// Admits the request by its client account's limits. The account's place is held as long as the
/// grant. Throws RefusedError with status 429 when a limit is reached; null without limits.
std::shared_ptr<AccountGrant> admitByAccount(Node &node, const RequestContext &context,
                                             std::size_t promptBytes);

} // namespace almondmill
