#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace almondmill {

/// Scope of a cached prefix. Different scopes have different keys.
struct PrefixScope
{
    std::string_view clientAccount;
    std::string_view model;
    std::string_view weights;
};

/// Chained hashes of the complete blocks of `prompt`, outermost first. A remainder that does not
/// fill a block has no key. Cost: linear in the prompt.
std::vector<std::uint64_t> prefixKeys(const PrefixScope &scope, std::string_view prompt,
                                      std::size_t blockBytes);

} // namespace almondmill
