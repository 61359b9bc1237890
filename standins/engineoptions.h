#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill::standin {

/// Configuration of an engine stand-in.
struct EngineOptions
{
    std::string listen = "127.0.0.1:0";
    std::string model = "reed";
    std::string weights = "w1";
    std::uint32_t blockBytes = 8000;
    std::uint32_t cacheBlocks = 96;
    std::chrono::milliseconds cacheIdleTimeout{8000};
    std::chrono::milliseconds prefillPerBlock{20};
    std::chrono::microseconds tokenGap{5000};
    std::uint32_t defaultTokens = 16;
    bool checksFencing = true;
    std::chrono::milliseconds loadTime{600}; ///< Time to load another version of the weights.
};

} // namespace almondmill::standin
