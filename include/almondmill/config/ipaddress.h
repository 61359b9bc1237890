#pragma once

#include <string>

namespace almondmill {

/// Whether `text` is "IP:port" with an IPv4 address or "[IP]:port" with an IPv6 address, and a port
/// in the range 1 to 65535.
bool isIpAndPort(const std::string &text);

} // namespace almondmill
