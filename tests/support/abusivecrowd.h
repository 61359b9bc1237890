#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

/// What each caller of a crowd sends: `start`, then `piece` again and again.
struct AbusiveLoad
{
    std::string start;
    std::string piece;
    std::size_t pieces = 0;
    std::size_t stepBytes = 0; ///< Bytes of one write to a connection; the callers take turns.
};

/// Many connections to one address that send the same load, read nothing and stay open until the
/// object is destroyed. Connections that the other side closes are not opened again.
class AbusiveCrowd
{
public:
    /// Connects `callers` times to "http://IP:port".
    AbusiveCrowd(const std::string &baseUrl, std::size_t callers);
    ~AbusiveCrowd();
    AbusiveCrowd(const AbusiveCrowd &) = delete;
    AbusiveCrowd &operator=(const AbusiveCrowd &) = delete;

    /// Sends the load on each connection until all of it is sent, the other side closes the
    /// connection or no connection accepts bytes any more.
    void send(const AbusiveLoad &load);

    std::size_t openConnections() const;

private:
    struct Member;

    bool sendStep(Member &member, const AbusiveLoad &load) const;
    bool waitForSpace() const;

    std::vector<std::unique_ptr<Member>> m_members;
};

} // namespace almondmill::test
