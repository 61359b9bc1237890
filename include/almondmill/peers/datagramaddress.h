#pragma once

#include <boost/asio/ip/udp.hpp>

#include <string>

namespace almondmill {

/// Parses "IP:port". Throws Error "forward.101" for any other text.
boost::asio::ip::udp::endpoint parseDatagramAddress(const std::string &text);

} // namespace almondmill
