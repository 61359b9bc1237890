#include "almondmill/request/eventsplitter.h"

namespace almondmill {

namespace {
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DoneLine = "data: [DONE]\n";
} // namespace

std::vector<std::string> EventSplitter::feed(std::string_view bytes)
{
    m_rest.append(bytes);
    std::vector<std::string> events;
    std::size_t start = 0;
    for (auto end = m_rest.find(EventEnd); end != std::string::npos;
         end = m_rest.find(EventEnd, start)) {
        events.push_back(m_rest.substr(start, end + EventEnd.size() - start));
        start = end + EventEnd.size();
    }
    m_rest.erase(0, start);
    return events;
}

bool isEndOfStream(std::string_view event)
{
    return event.find(DoneLine) != std::string_view::npos;
}

} // namespace almondmill
