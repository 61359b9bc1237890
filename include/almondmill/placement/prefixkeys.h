#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace almondmill {

/// What a cached prefix belongs to; keys of two scopes never meet.
struct PrefixScope
{
    std::string_view clientAccount;
    std::string_view model;
    std::string_view weights;
};

/// Chained hashes of the whole pieces of `prompt`, outermost first. The remainder that fills no
/// piece has no key. Cost: linear in the prompt.
std::vector<std::uint64_t> prefixKeys(const PrefixScope &scope, std::string_view prompt,
                                      std::size_t pieceBytes);

} // namespace almondmill
