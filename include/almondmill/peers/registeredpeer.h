#pragma once

#include <boost/asio/ip/udp.hpp>

#include <string>

namespace almondmill {

/// A router as it has registered itself in the platform's store.
struct RegisteredPeer
{
    std::string name;
    boost::asio::ip::udp::endpoint address; ///< Where it receives datagrams.
    std::string dataCentre;                 ///< Empty when its release does not register it.
};

} // namespace almondmill
