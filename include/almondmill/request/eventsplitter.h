#pragma once

#include "almondmill/request/streamevent.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Cuts a server-sent event stream into whole events, so that what is relayed always ends at the
/// end of an event. Lines may end with a line feed, or with carriage return and line feed.
class EventSplitter
{
public:
    /// An event longer than this is an error of the endpoint.
    static constexpr std::size_t MostEventBytes = 1U << 20U;

    /// Takes bytes in and returns the events that they complete. Cost: linear in the bytes.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether an event grew beyond MostEventBytes.
    bool overflowed() const { return m_rest.size() > MostEventBytes; }

    /// Bytes of an event that is not complete.
    const std::string &rest() const { return m_rest; }

private:
    std::string m_rest;
    std::size_t m_scanned = 0; ///< Bytes of `m_rest` known to hold no end of an event.
};

} // namespace almondmill
