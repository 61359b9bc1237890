#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace almondmill {

/// Routers to which `self` forwards an update of `origin`: the children of `self` in a broadcast
/// tree over all `names`. The tree is rooted at the origin, and the origin seeds the order of the
/// other nodes, so the forwarding load is spread differently for each origin. Routers that know the
/// same names compute the same tree. Complexity: O(n log n).
std::vector<std::string> broadcastTreeChildren(const std::string &origin, const std::string &self,
                                               std::vector<std::string> names);

} // namespace almondmill
