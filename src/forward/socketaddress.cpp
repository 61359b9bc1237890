#include "almondmill/forward/socketaddress.h"

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/error.h"

#include <limits>

namespace almondmill {

boost::asio::ip::tcp::endpoint parseSocketAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
    const std::uint64_t port =
            colon == std::string::npos ? 0 : parseNumber(text.substr(colon + 1)).value_or(0);
    if (error || port == 0 || port > std::numeric_limits<std::uint16_t>::max())
        throw Error("forward.101", "invalid socket address '" + text + "'; expected IP:port");
    return {address, static_cast<std::uint16_t>(port)};
}

} // namespace almondmill
