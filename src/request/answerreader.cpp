#include "almondmill/request/answerreader.h"

#include "almondmill/request/answersink.h"
#include "almondmill/request/streamprogress.h"

namespace almondmill {

namespace {

constexpr int FirstServerError = 500;
constexpr int Ok = 200;

bool isEventStream(const AttemptHead &head)
{
    return head.contentType.starts_with("text/event-stream");
}

AttemptEnd endOf(const AttemptResult &result)
{
    if (std::holds_alternative<AttemptNotSent>(result))
        return AttemptEnd::NotSent;
    if (std::holds_alternative<AttemptCancelled>(result))
        return AttemptEnd::TimedOut;
    return AttemptEnd::Broken;
}

} // namespace

AnswerReader::AnswerReader(std::string attemptId, bool mustStream, StreamProgress &progress,
                           AnswerSink &sink)
    : m_attemptId(std::move(attemptId))
    , m_mustStream(mustStream)
    , m_progress(progress)
    , m_sink(sink)
{}

AttemptReport AnswerReader::report(const AttemptResult &result) const
{
    AttemptReport report = m_report;
    const bool plainComplete =
            !report.streamed && report.answered && std::holds_alternative<AttemptCompleted>(result);
    if (m_progress.complete() || (!m_end && plainComplete))
        report.end = AttemptEnd::Complete;
    else
        report.end = m_end.value_or(endOf(result));
    return report;
}

bool AnswerReader::onHead(const AttemptHead &head)
{
    m_sink.onActivity();
    if (isRefusal(head))
        return stop(AttemptEnd::Rejected);
    if (head.attemptId != m_attemptId) {
        m_sink.onCrossedAnswer();
        return stop(AttemptEnd::Crossed);
    }
    m_head = head;
    m_report.answered = true;
    m_report.streamed = isEventStream(head);
    m_sink.onAnswer(head);
    return true;
}

bool AnswerReader::onBytes(std::string_view bytes)
{
    m_sink.onActivity();
    if (!m_report.streamed) {
        m_body.append(bytes);
        return m_body.size() <= MaxPlainBytes || stop(AttemptEnd::TooLarge);
    }
    for (StreamEvent &event : m_splitter.feed(bytes)) {
        if (!handleEvent(std::move(event)))
            return false;
    }
    return !m_splitter.overflowed() || stop(AttemptEnd::TooLarge);
}

bool AnswerReader::isRefusal(const AttemptHead &head) const
{
    if (m_mustStream)
        return head.status != Ok || !isEventStream(head);
    return head.status >= FirstServerError;
}

bool AnswerReader::handleEvent(StreamEvent event)
{
    const std::uint64_t seenBefore = m_progress.seen();
    const EventVerdict verdict = m_progress.recordEvent(event);
    m_report.progressed = m_report.progressed || m_progress.seen() != seenBefore;
    m_sink.onVerdict(verdict);
    if (verdict == EventVerdict::Gap)
        return stop(AttemptEnd::Gap);
    if (verdict == EventVerdict::Mismatch)
        return stop(AttemptEnd::Mismatch);
    if (verdict == EventVerdict::Relay && !m_sink.relay(std::move(event.bytes)))
        return stop(AttemptEnd::CallerGone);
    return !m_progress.complete();
}

bool AnswerReader::stop(AttemptEnd end)
{
    m_end = end;
    return false;
}

} // namespace almondmill
