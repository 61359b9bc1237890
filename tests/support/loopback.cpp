#include "support/loopback.h"

#include <unistd.h>

#include <atomic>

namespace almondmill::test {

std::string nextLoopbackAddress()
{
    static std::atomic<unsigned> count{0};
    constexpr unsigned Octet = 256;
    constexpr unsigned Groups = 120;
    constexpr unsigned HostsPerNet = 250;
    constexpr unsigned ExtraNets = 130;
    const auto process = static_cast<unsigned>(getpid());
    const unsigned number = count++;
    const unsigned net = number / HostsPerNet;
    // A process that has used up its first net continues in nets that are no process's first one.
    const unsigned second =
            net == 0 ? 2 + process / Octet % Groups : 2 + Groups + (net - 1) % ExtraNets;
    const unsigned host = 1 + number % HostsPerNet;
    return "127." + std::to_string(second) + "." + std::to_string(process % Octet) + "."
           + std::to_string(host);
}

} // namespace almondmill::test
