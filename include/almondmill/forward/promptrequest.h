#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// A part of a prompt that other requests may share.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// Parameters of a generation request that are sent in the headers.
struct PromptRequest
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< In prompt order; the last is not shared.
};

/// Hash of the longest part that other requests may share, or of the only part if there is just
/// one; zero when there are no parts.
std::uint64_t sharedPartHash(const PromptRequest &prompt);

} // namespace almondmill
