#pragma once

#include "almondmill/kernel/time.h"

#include <string>

namespace almondmill {

struct AttemptHead;
enum class EventVerdict;

/// Receives what an AnswerReader finds in an endpoint's answer.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// The head of the answer arrived and belongs to the attempt.
    virtual void onAnswer(const AttemptHead &head) = 0;

    /// The answer belongs to another attempt and is dropped.
    virtual void onCrossedAnswer() = 0;

    /// Bytes arrived, so the endpoint's idle timeout starts again.
    virtual void onActivity() = 0;

    /// An event arrived and was checked against the progress of the stream.
    virtual void onVerdict(EventVerdict verdict) = 0;

    /// Hands an event on to the caller. Blocks while a slow caller leaves no room in the channel.
    /// False when the caller is gone.
    virtual bool relay(std::string event) = 0;
};

} // namespace almondmill
