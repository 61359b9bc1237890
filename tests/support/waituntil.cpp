#include "support/waituntil.h"

#include <thread>

namespace almondmill::test {

bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds PollInterval{5};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace almondmill::test
