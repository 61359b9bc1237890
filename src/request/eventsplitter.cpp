#include "almondmill/request/eventsplitter.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Length of the longest end of an event, "\n\r\n". That many trailing bytes are scanned again when
/// more bytes arrive.
constexpr std::size_t MaxEventEndBytes = 3;

/// Returns the position after the empty line that ends the first event, or npos.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (auto feed = text.find('\n', from); feed != std::string_view::npos;
         feed = text.find('\n', feed + 1)) {
        const std::string_view after = text.substr(feed + 1);
        if (after.starts_with("\n"))
            return feed + 2;
        if (after.starts_with("\r\n"))
            return feed + 3;
    }
    return std::string_view::npos;
}

bool isCommentOrEmpty(std::string_view line)
{
    return line.empty() || line == "\r" || line.starts_with(':');
}

} // namespace

bool EventSplitter::isInsideEvent() const
{
    std::string_view rest = m_rest;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        if (end == std::string_view::npos || !isCommentOrEmpty(rest.substr(0, end)))
            return true;
        rest.remove_prefix(end + 1);
    }
    return false;
}

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    std::vector<StreamEvent> events;
    std::size_t start = 0;
    for (auto end = endOfEvent(m_rest, m_scanned); end != std::string::npos;
         end = endOfEvent(m_rest, start)) {
        events.push_back(parseStreamEvent(m_rest.substr(start, end - start)));
        start = end;
    }
    m_rest.erase(0, start);
    m_scanned = m_rest.size() - std::min(m_rest.size(), MaxEventEndBytes);
    return events;
}

} // namespace almondmill
