#pragma once

#include "almondmill/http/httphead.h"
#include "almondmill/http/messageframing.h"

#include <string_view>

namespace almondmill {

/// Determines the framing of an answer from the lines of its head, for a reader whose HTTP library
/// passes over transfer codings that it doesn't know.
class AnswerHeadReader
{
public:
    /// Adds the next line with its line end. Heads of interim answers are skipped.
    void addLine(std::string_view line);

    bool isComplete() const { return m_isComplete; }

    /// Valid when the head is complete.
    MessageFraming framing() const { return m_framing; }

private:
    void addStatusLine(std::string_view line);
    void addField(std::string_view line);

    HttpHead m_head;
    MessageFraming m_framing = MessageFraming::None;
    bool m_isInterim = false;
    bool m_isComplete = false;
};

} // namespace almondmill
