#include "almondmill/config/duration.h"

#include <charconv>

namespace almondmill {

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    std::uint32_t count = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc())
        return std::nullopt;
    const std::string unit(rest, end);
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "m")
        return std::chrono::minutes(count);
    if (unit == "h")
        return std::chrono::hours(count);
    return std::nullopt;
}

} // namespace almondmill
