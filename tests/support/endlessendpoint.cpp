#include "support/endlessendpoint.h"

#include <thread>

namespace almondmill::test {

namespace {

/// What is written at most on one connection; far more than a router may buffer for one answer.
constexpr std::size_t MaxWrittenBytes = std::size_t(96) << 20U;

constexpr std::size_t BlockBytes = std::size_t(64) << 10U;

std::string blockOf(const std::string &piece, bool isSlow)
{
    std::string block = piece;
    while (!isSlow && block.size() < BlockBytes)
        block += piece;
    return block;
}

} // namespace

EndlessEndpoint::EndlessEndpoint(std::string start, const std::string &piece,
                                 std::chrono::milliseconds pause)
    : m_start(std::move(start))
    , m_block(blockOf(piece, pause.count() != 0))
    , m_pause(pause)
    , m_endpoint([this](int socket, const std::string &, unsigned) { sendWithoutEnd(socket); })
{}

void EndlessEndpoint::sendWithoutEnd(int socket) const
{
    bool isOpen = RawEndpoint::write(socket, m_start);
    std::size_t written = 0;
    while (isOpen && written < MaxWrittenBytes) {
        isOpen = RawEndpoint::write(socket, m_block);
        written += m_block.size();
        m_written += m_block.size();
        if (m_pause.count() != 0)
            std::this_thread::sleep_for(m_pause);
    }
}

} // namespace almondmill::test
