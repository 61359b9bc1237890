#pragma once

#include <string>

namespace almondmill::test {

/// A loopback network "127.a.b" of 250 addresses. It is reserved among all processes of the machine
/// by a bound socket, until the object is destroyed or its process ends.
class LoopbackNetwork
{
public:
    /// Number of the last host of a network; the first one is 1.
    static constexpr unsigned LastHost = 250;

    /// Reserves the first free network, beginning with network `first` and continuing in numerical
    /// order. Throws std::runtime_error if all are reserved.
    explicit LoopbackNetwork(unsigned first);
    ~LoopbackNetwork();
    LoopbackNetwork(const LoopbackNetwork &) = delete;
    LoopbackNetwork &operator=(const LoopbackNetwork &) = delete;

    /// Returns the address "127.a.b.n" of host n.
    std::string address(unsigned host) const;

private:
    bool tryReserve(unsigned network);

    unsigned m_network = 0;
    int m_guard = -1;
};

} // namespace almondmill::test
