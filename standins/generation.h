#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace almondmill::standin {

/// One completion of the engine stand-in. Its tokens are derived from the prompt and become ready
/// at times fixed at its start, so that it needs no thread and progresses without a connected
/// caller.
struct Generation
{
    std::string attemptId;
    std::uint64_t seed = 0; ///< Hash of the prompt: equal prompts give equal tokens.
    std::uint32_t tokens = 0;
    std::uint32_t cachedTokens = 0;
    SteadyTime firstTokenAt;
    std::chrono::microseconds tokenGap{0};
    std::atomic<bool> cancelled{false};

    Generation() = default;

    /// Copies everything except the cancellation.
    Generation(const Generation &other)
        : attemptId(other.attemptId)
        , seed(other.seed)
        , tokens(other.tokens)
        , cachedTokens(other.cachedTokens)
        , firstTokenAt(other.firstTokenAt)
        , tokenGap(other.tokenGap)
    {}

    /// Time from which event `index` can be sent; event `tokens` is the end of the stream.
    SteadyTime readyAt(std::uint32_t index) const { return firstTokenAt + tokenGap * index; }

    /// Text of a token, such as "k3f9-12 ".
    std::string tokenText(std::uint32_t index) const;

    /// Server-sent event `index` with the id `index + 1`; event `tokens` is the end of the stream.
    std::string event(std::uint32_t index) const;

    /// Text of all tokens, for an answer without streaming.
    std::string text() const;
};

} // namespace almondmill::standin
