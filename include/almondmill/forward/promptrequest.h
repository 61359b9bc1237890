#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// A part of a prompt that other requests may have in common with this one.
struct PromptPart
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a generation asks of a model, told beside the body.
struct PromptRequest
{
    std::string model;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    std::vector<PromptPart> parts; ///< From the start of the prompt; the last is the request's own.
};

/// Of the longest part that others may share; zero when there is none.
std::uint64_t sharedPartHash(const PromptRequest &prompt);

} // namespace almondmill
