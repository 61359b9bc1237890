#pragma once

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"

#include <cstddef>
#include <string>

namespace almondmill {

/// Collects a whole answer in memory, and ends the attempt when the answer is not its own, grows
/// too long or takes too long.
class WholeAnswer : public AttemptObserver
{
public:
    WholeAnswer(std::string attemptId, std::size_t mostBytes);

    const AttemptHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }

    /// Whether the endpoint said that this is the answer to another attempt. One that names no
    /// attempt is taken as this one's, since its connection carried no other.
    bool answersAnother() const { return m_answersAnother; }

    bool onHead(const AttemptHead &head) override;
    bool onBytes(std::string_view bytes) override;

private:
    std::string m_attemptId;
    std::size_t m_mostBytes;
    AttemptHead m_head;
    std::string m_body;
    bool m_answersAnother = false;
};

} // namespace almondmill
