#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace almondmill::standin {

/// One completion that the engine stand-in computes. Its tokens follow from the prompt and are
/// ready at times fixed at the start, so it needs no thread and goes on while nobody reads.
struct Generation
{
    std::string attemptId;
    std::uint64_t seed = 0; ///< From the prompt: equal prompts give equal tokens.
    std::uint32_t tokens = 0;
    std::uint32_t cachedTokens = 0;
    SteadyTime firstTokenAt;
    std::chrono::microseconds tokenGap{0};
    std::atomic<bool> cancelled{false};

    Generation() = default;

    /// A computation of its own with the same tokens.
    Generation(const Generation &other)
        : attemptId(other.attemptId)
        , seed(other.seed)
        , tokens(other.tokens)
        , cachedTokens(other.cachedTokens)
        , firstTokenAt(other.firstTokenAt)
        , tokenGap(other.tokenGap)
    {}

    /// When event `index` can be sent; the one after the last token is the end of the stream.
    SteadyTime readyAt(std::uint32_t index) const { return firstTokenAt + tokenGap * index; }

    /// Text of a token, such as "k3f9-12 ".
    std::string tokenText(std::uint32_t index) const;

    /// The server-sent event `index`, with its number as id; `index == tokens` is the end.
    std::string event(std::uint32_t index) const;

    /// The whole text, for a plain answer.
    std::string text() const;
};

} // namespace almondmill::standin
