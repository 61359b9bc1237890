#pragma once

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptresult.h"
#include "almondmill/request/attemptreport.h"
#include "almondmill/request/eventsplitter.h"

#include <cstddef>
#include <optional>
#include <string>

namespace almondmill {

class AnswerSink;
class StreamProgress;

/// Reads the answer of one attempt. Drops an answer that belongs to another attempt, checks the
/// events of a stream one by one, and buffers an answer that is no stream until it is complete.
class AnswerReader : public AttemptObserver
{
public:
    /// Largest answer accepted that is not an event stream. A larger one is an endpoint error.
    static constexpr std::size_t MaxPlainBytes = 4U << 20U;

    /// `mustStream`: accepts only an event stream, because the caller already received the start of
    /// one or because the attempt resumes one.
    AnswerReader(std::string attemptId, bool mustStream, StreamProgress &progress,
                 AnswerSink &sink);

    const AttemptHead &head() const { return m_head; }
    const std::string &plainBody() const { return m_body; }

    /// Summarizes the attempt, given the result of its runner.
    AttemptReport report(const AttemptResult &result) const;

    bool onHead(const AttemptHead &head) override;
    bool onBytes(std::string_view bytes) override;

private:
    bool isRefusal(const AttemptHead &head) const;
    bool handleEvent(StreamEvent event);
    bool stop(AttemptEnd end);

    std::string m_attemptId;
    bool m_mustStream;
    StreamProgress &m_progress;
    AnswerSink &m_sink;
    AttemptHead m_head;
    EventSplitter m_splitter;
    std::string m_body;
    std::optional<AttemptEnd> m_end; ///< Set when this class stopped the attempt.
    AttemptReport m_report;
};

} // namespace almondmill
