#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace almondmill {

/// The routers that `self` passes news of `origin` on to: its children in a tree over all `names`,
/// rooted at the origin and ordered by it, so that the trees of two origins differ. Each router
/// that knows the same names builds the same tree. Cost: n log n.
std::vector<std::string> newsChildren(const std::string &origin, const std::string &self,
                                      std::vector<std::string> names);

} // namespace almondmill
