#pragma once

#include "almondmill/kernel/time.h"

#include <string>

namespace almondmill {

struct AttemptHead;
enum class EventVerdict;

/// Takes what an AnswerReader finds in an endpoint's answer.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// The answer begins and belongs to the attempt.
    virtual void onAnswer(const AttemptHead &head) = 0;

    /// The answer belongs to another attempt and is dropped.
    virtual void onCrossedAnswer() = 0;

    /// Something arrived: the endpoint is not silent.
    virtual void onActivity() = 0;

    /// An event arrived and was judged.
    virtual void onVerdict(EventVerdict verdict) = 0;

    /// Passes an event on to the caller; may block while the caller is slow. False when it is gone.
    virtual bool relay(std::string event) = 0;
};

} // namespace almondmill
