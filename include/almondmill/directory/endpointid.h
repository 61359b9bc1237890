#pragma once

#include <string_view>

namespace almondmill {

/// Whether the text can be the id of an endpoint: up to 128 letters, digits and "-._~:@". Ids are
/// sent in header fields and to other routers, so other text, which another writer may have put
/// into the store, is not taken for one.
bool isEndpointId(std::string_view text);

} // namespace almondmill
