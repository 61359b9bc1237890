#include "almondmill/peers/newstree.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Children of each router: 320 routers are reached in five steps, and no router sends more than
/// this many copies.
constexpr std::size_t FanOut = 4;

} // namespace

std::vector<std::string> newsChildren(const std::string &origin, const std::string &self,
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
    const auto place =
            static_cast<std::size_t>(std::find(names.begin(), names.end(), self) - names.begin());
    std::vector<std::string> children;
    for (std::size_t child = place * FanOut + 1;
         child <= place * FanOut + FanOut && child < names.size(); ++child)
        children.push_back(names[child]);
    return children;
}

} // namespace almondmill
