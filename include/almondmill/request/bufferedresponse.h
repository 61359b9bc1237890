#pragma once

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"

#include <cstddef>
#include <string>

namespace almondmill {

/// Buffers a complete response in memory. Ends the attempt when the response belongs to another
/// attempt or grows too large.
class BufferedResponse : public AttemptObserver
{
public:
    BufferedResponse(std::string attemptId, std::size_t maxBytes);

    const AttemptHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }

    /// Whether the response carries the id of another attempt. A response without an attempt id is
    /// accepted, since its connection carried no other request.
    bool belongsToOtherAttempt() const { return m_belongsToOtherAttempt; }

    bool onHead(const AttemptHead &head) override;
    bool onBytes(std::string_view bytes) override;

private:
    std::string m_attemptId;
    std::size_t m_maxBytes;
    AttemptHead m_head;
    std::string m_body;
    bool m_belongsToOtherAttempt = false;
};

} // namespace almondmill
