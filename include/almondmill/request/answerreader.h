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

/// Reads one attempt's answer: drops it when it belongs to another attempt, judges events one by
/// one, and keeps a plain answer until it is whole.
class AnswerReader : public AttemptObserver
{
public:
    /// A plain answer longer than this is an error of the endpoint.
    static constexpr std::size_t MostPlainBytes = 4U << 20U;

    /// `mustStream`: only an event stream will do, since the caller was promised one or the rest of
    /// one is asked for.
    AnswerReader(std::string attemptId, bool mustStream, StreamProgress &progress,
                 AnswerSink &sink);

    const AttemptHead &head() const { return m_head; }
    const std::string &plainBody() const { return m_body; }

    /// What the attempt came to, given how its sending ended.
    AttemptReport report(const AttemptResult &result) const;

    bool onHead(const AttemptHead &head) override;
    bool onBytes(std::string_view bytes) override;

private:
    bool isRefusal(const AttemptHead &head) const;
    bool takeEvent(StreamEvent event);
    bool stop(AttemptEnd end);

    std::string m_attemptId;
    bool m_mustStream;
    StreamProgress &m_progress;
    AnswerSink &m_sink;
    AttemptHead m_head;
    EventSplitter m_splitter;
    std::string m_body;
    std::optional<AttemptEnd> m_end; ///< Why the reading stopped, where this class stopped it.
    AttemptReport m_report;
};

} // namespace almondmill
