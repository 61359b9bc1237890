#pragma once

#include <string>

namespace httplib {
class Server;
}

namespace almondmill {

/// Binds `server` to "IP:port" and listens with a backlog large enough for bursts of connections
/// (the library's default is 5). Returns the bound port, which the system chooses if the address
/// has port 0. Throws Error "kernel.102" if the address cannot be bound. Call `listen_after_bind`
/// afterwards.
int bindWithBacklog(httplib::Server &server, const std::string &address);

/// Blocks until the server's accept loop runs, because a `stop` before that has no effect.
void waitUntilRunning(const httplib::Server &server);

} // namespace almondmill
