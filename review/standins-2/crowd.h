#pragma once

#include <chrono>
#include <string>

namespace review {

/// Callers that each announce a body of legal size, send all but its last bytes, and stay.
class Crowd
{
public:
    Crowd(std::string ip, int port, int callers);

    /// All callers connect at once and stay for that time. The number of the visit is part of their
    /// requests' ids.
    void visit(int visit, std::chrono::milliseconds length) const;

private:
    std::string m_ip;
    int m_port;
    int m_callers;
};

/// Bytes that the kernel has received for connections to that address and nobody has read yet.
std::size_t unreadBytes(const std::string &ip, int port);

} // namespace review
