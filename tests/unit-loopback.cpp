// Guards against tests that fail because another test process uses, or has just used, their
// addresses: process ids repeat, and a closed TCP connection keeps its address for a minute.

#include "support/loopback.h"
#include "support/loopbacknetwork.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <set>

namespace almondmill::test {

TEST(Loopback, AReservedNetworkIsPassedOver)
{
    constexpr unsigned First = 40000;
    const LoopbackNetwork one(First);
    const LoopbackNetwork other(First);
    EXPECT_NE(one.address(1), other.address(1));
}

TEST(Loopback, AReleasedNetworkIsReservedAgain)
{
    constexpr unsigned First = 41000;
    std::string before;
    {
        const LoopbackNetwork released(First);
        before = released.address(1);
    }
    const LoopbackNetwork next(First);
    EXPECT_EQ(next.address(1), before);
}

TEST(Loopback, AddressesDifferBeyondOneNetwork)
{
    constexpr unsigned Count = 3 * LoopbackNetwork::LastHost;
    std::set<std::string> addresses;
    for (unsigned i = 0; i < Count; ++i)
        addresses.insert(nextLoopbackAddress());
    EXPECT_EQ(addresses.size(), Count);
}

TEST(Loopback, AnEndpointStartsWhereConnectionsWereJustClosed)
{
    const std::string host = nextLoopbackAddress();
    const auto answer = [](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    };
    {
        const RawEndpoint first(host, answer);
        EXPECT_TRUE(httplib::Client("http://" + first.address()).Get("/"));
    }
    const RawEndpoint second(host, answer);
    EXPECT_TRUE(httplib::Client("http://" + second.address()).Get("/"));
}

} // namespace almondmill::test
