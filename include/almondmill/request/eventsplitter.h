#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Cuts a server-sent event stream into whole events, so that what is relayed always ends at the
/// end of an event.
class EventSplitter
{
public:
    /// Takes bytes in and returns the events that they complete, each with its closing empty line.
    std::vector<std::string> feed(std::string_view bytes);

    /// Whether bytes of an event that is not complete are left.
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    std::string m_rest;
};

/// Whether the event is the explicit end of a stream, `data: [DONE]`.
bool isEndOfStream(std::string_view event);

} // namespace almondmill
