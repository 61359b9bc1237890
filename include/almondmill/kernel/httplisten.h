#pragma once

#include <string>

namespace httplib {
class Server;
}

namespace almondmill {

/// Binds `server` to "IP:port" with a backlog that takes a burst (the library's own is 5).
/// Returns the port bound, which the system chooses when the address says port 0. Throws Error
/// "kernel.102" when the address can't be bound. Call `listen_after_bind` next.
int bindWithBacklog(httplib::Server &server, const std::string &address);

/// Blocks until the server's accepting thread runs: a `stop` before that would be lost.
void waitUntilRunning(const httplib::Server &server);

} // namespace almondmill
