#pragma once

#include "almondmill/request/streamevent.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Splits a server-sent event stream into complete events, so that only complete events are
/// relayed. Lines may end with a line feed, or with carriage return and line feed.
class EventSplitter
{
public:
    /// Largest event accepted. A larger one is an endpoint error.
    static constexpr std::size_t MaxEventBytes = 1U << 20U;

    /// Appends bytes and returns the events that they complete. Cost: linear in the bytes.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether an incomplete event exceeds MaxEventBytes.
    bool overflowed() const { return m_rest.size() > MaxEventBytes; }

    /// Whether the bytes so far end inside an event. Complete comments and empty lines belong to no
    /// event.
    bool isInsideEvent() const;

    /// Bytes of the incomplete event at the end.
    const std::string &rest() const { return m_rest; }

private:
    std::string m_rest;
    std::size_t m_scanned = 0; ///< Bytes of `m_rest` that contain no end of an event.
};

} // namespace almondmill
