#include "support/loopback.h"

#include <unistd.h>

#include <atomic>

namespace almondmill::test {

std::string nextLoopbackAddress()
{
    static std::atomic<unsigned> count{0};
    constexpr unsigned Groups = 120;
    const auto process = static_cast<unsigned>(getpid());
    const unsigned host = ++count;
    return "127." + std::to_string(2 + process / 256 % Groups) + "." + std::to_string(process % 256)
           + "." + std::to_string(host);
}

} // namespace almondmill::test
