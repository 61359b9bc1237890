#pragma once

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <string>

namespace almondmill {

/// Collects a whole answer in memory, and ends the attempt when the answer is not its own, grows
/// too long or takes too long.
class WholeAnswer : public AttemptObserver
{
public:
    /// What an answer must keep to.
    struct Limits
    {
        std::size_t bodyBytes = 0;
        SteadyTime end; ///< Ends the attempt even when bytes still trickle in.
    };

    WholeAnswer(std::string attemptId, Limits limits);

    const AttemptHead &head() const { return m_head; }
    const std::string &body() const { return m_body; }

    /// Whether the endpoint said that this is the answer to another attempt. One that names no
    /// attempt is taken as this one's, since its connection carried no other.
    bool answersAnother() const { return m_answersAnother; }

    bool onHead(const AttemptHead &head) override;
    bool onBytes(std::string_view bytes) override;

private:
    std::string m_attemptId;
    Limits m_limits;
    AttemptHead m_head;
    std::string m_body;
    bool m_answersAnother = false;
};

} // namespace almondmill
