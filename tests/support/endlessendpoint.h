#pragma once

#include "support/rawendpoint.h"

#include <atomic>
#include <chrono>
#include <string>

namespace almondmill::test {

/// An endpoint that sends `start` and then repeats `piece` until its peer closes the connection, in
/// large blocks or, with a pause, one piece at a time.
class EndlessEndpoint
{
public:
    EndlessEndpoint(std::string start, const std::string &piece,
                    std::chrono::milliseconds pause = std::chrono::milliseconds(0));

    const std::string &address() const { return m_endpoint.address(); }
    std::size_t writtenBytes() const { return m_written; }

private:
    void sendWithoutEnd(int socket) const;

    std::string m_start;
    std::string m_block;
    std::chrono::milliseconds m_pause;
    mutable std::atomic<std::size_t> m_written{0};
    RawEndpoint m_endpoint;
};

} // namespace almondmill::test
