#include "almondmill/request/wholeanswer.h"

namespace almondmill {

WholeAnswer::WholeAnswer(std::string attemptId, std::size_t mostBytes)
    : m_attemptId(std::move(attemptId))
    , m_mostBytes(mostBytes)
{}

bool WholeAnswer::onHead(const AttemptHead &head)
{
    m_head = head;
    m_answersAnother = !head.attemptId.empty() && head.attemptId != m_attemptId;
    return !m_answersAnother;
}

bool WholeAnswer::onBytes(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_mostBytes)
        return false;
    m_body.append(bytes);
    return true;
}

} // namespace almondmill
