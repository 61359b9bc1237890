#include "almondmill/request/bufferedresponse.h"

namespace almondmill {

BufferedResponse::BufferedResponse(std::string attemptId, std::size_t maxBytes)
    : m_attemptId(std::move(attemptId))
    , m_maxBytes(maxBytes)
{}

bool BufferedResponse::onHead(const AttemptHead &head)
{
    m_head = head;
    m_belongsToOtherAttempt = !head.attemptId.empty() && head.attemptId != m_attemptId;
    return !m_belongsToOtherAttempt;
}

bool BufferedResponse::onBytes(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_maxBytes)
        return false;
    m_body.append(bytes);
    return true;
}

} // namespace almondmill
