#include "almondmill/placement/prefixkeys.h"

#include "almondmill/kernel/hash.h"

namespace almondmill {

namespace {

std::uint64_t seedOf(const PrefixScope &scope)
{
    std::uint64_t seed = hash64(scope.clientAccount);
    seed = mixHash(seed, hash64(scope.model));
    return mixHash(seed, hash64(scope.weights));
}

} // namespace

std::vector<std::uint64_t> prefixKeys(const PrefixScope &scope, std::string_view prompt,
                                      std::size_t blockBytes)
{
    std::vector<std::uint64_t> keys;
    std::uint64_t chain = seedOf(scope);
    for (std::size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        chain = mixHash(chain, hash64(prompt.substr(start, blockBytes)));
        keys.push_back(chain);
    }
    return keys;
}

} // namespace almondmill
