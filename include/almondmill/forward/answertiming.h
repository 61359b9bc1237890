#pragma once

#include <chrono>
#include <cstdint>

namespace almondmill {

/// What an endpoint has to do for a request before it sends the first event, as far as the router
/// knows.
struct ExpectedWork
{
    double computedTokens = 0; ///< Prompt tokens; zero for plain services.
    double fetchedTokens = 0;  ///< Cached tokens that come from elsewhere.
    bool startsAtOnce = false; ///< Neither a slot nor other prompts have to be waited for.
};

/// Times of one complete answer.
struct AnswerTiming
{
    ExpectedWork work;
    std::chrono::nanoseconds toFirstEvent{0}; ///< From the sending of the request.
    std::chrono::nanoseconds toEnd{0};        ///< From the first event to the end of the answer.
    std::uint32_t events = 0;                 ///< Zero for an answer that is no stream.
};

} // namespace almondmill
