#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace almondmill {

/// Parses "IP:port". Throws Error "forward.101" for any other text.
boost::asio::ip::tcp::endpoint parseSocketAddress(const std::string &text);

} // namespace almondmill
