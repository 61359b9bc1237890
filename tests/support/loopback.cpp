#include "support/loopback.h"

#include "support/loopbacknetwork.h"

#include <unistd.h>

#include <deque>
#include <mutex>

namespace almondmill::test {

std::string nextLoopbackAddress()
{
    static std::mutex mutex;
    static std::deque<LoopbackNetwork> networks;
    static unsigned host = LoopbackNetwork::LastHost;
    const std::lock_guard<std::mutex> lock(mutex);
    if (host == LoopbackNetwork::LastHost) {
        networks.emplace_back(static_cast<unsigned>(getpid()));
        host = 0;
    }
    ++host;
    return networks.back().address(host);
}

} // namespace almondmill::test
