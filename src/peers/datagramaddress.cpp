#include "almondmill/peers/datagramaddress.h"

#include "almondmill/forward/socketaddress.h"

namespace almondmill {

boost::asio::ip::udp::endpoint parseDatagramAddress(const std::string &text)
{
    const auto address = parseSocketAddress(text);
    return {address.address(), address.port()};
}

} // namespace almondmill
