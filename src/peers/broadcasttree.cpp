#include "almondmill/peers/broadcasttree.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Children per router, and so the number of copies that a router sends at most. 320 routers are
/// reached in five hops.
constexpr std::size_t FanOut = 4;

} // namespace

std::vector<std::string> broadcastTreeChildren(const std::string &origin, const std::string &self,
                                               std::vector<std::string> names)
{
    names.push_back(origin);
    names.push_back(self);
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    const std::uint64_t seed = hash64(origin);
    std::sort(names.begin(), names.end(), [&](const std::string &first, const std::string &second) {
        if ((first == origin) != (second == origin))
            return first == origin;
        return mixHash(seed, hash64(first)) < mixHash(seed, hash64(second));
    });
    const auto position =
            static_cast<std::size_t>(std::find(names.begin(), names.end(), self) - names.begin());
    std::vector<std::string> children;
    for (std::size_t child = position * FanOut + 1;
         child <= position * FanOut + FanOut && child < names.size(); ++child)
        children.push_back(names[child]);
    return children;
}

} // namespace almondmill
