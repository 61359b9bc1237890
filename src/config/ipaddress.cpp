#include "almondmill/config/ipaddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace almondmill {

namespace {

constexpr int MinPort = 1;
constexpr int MaxPort = 65535;

bool isPort(const std::string &text)
{
    int port = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && rest == end && port >= MinPort && port <= MaxPort;
}

bool isIp(int family, const std::string &text)
{
    in6_addr address{};
    const bool hasZero = text.find('\0') != std::string::npos;
    return !hasZero && inet_pton(family, text.c_str(), &address) == 1;
}

} // namespace

bool isIpAndPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(text.substr(colon + 1)))
        return false;
    const std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return isIp(AF_INET6, host.substr(1, host.size() - 2));
    return isIp(AF_INET, host);
}

} // namespace almondmill
