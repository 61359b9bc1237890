#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace almondmill {

/// Builder of one line of the structured log. The destructor writes the line to the log.
class EventLine
{
public:
    /// `event` is the name of the event, such as "request.done".
    explicit EventLine(std::string_view event);
    ~EventLine();
    EventLine(const EventLine &) = delete;
    EventLine &operator=(const EventLine &) = delete;

    EventLine &add(std::string_view key, std::string_view value);
    EventLine &add(std::string_view key, const char *value);
    EventLine &add(std::string_view key, const std::string &value);
    EventLine &add(std::string_view key, std::uint64_t value);
    EventLine &add(std::string_view key, std::uint32_t value);
    EventLine &add(std::string_view key, int value);
    EventLine &add(std::string_view key, bool value);
    EventLine &add(std::string_view key, double value);
    EventLine &add(std::string_view key, std::chrono::milliseconds value);

private:
    std::string m_text;
};

} // namespace almondmill
