#include "almondmill/config/duration.h"

#include <charconv>
#include <cmath>

namespace almondmill {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

std::optional<Milliseconds> unitLength(std::string_view unit)
{
    if (unit == "ms")
        return std::chrono::milliseconds(1);
    if (unit == "s")
        return std::chrono::seconds(1);
    if (unit == "m")
        return std::chrono::minutes(1);
    if (unit == "h")
        return std::chrono::hours(1);
    return std::nullopt;
}

} // namespace

std::optional<std::chrono::milliseconds> parseDuration(const std::string &text)
{
    double count = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || !std::isfinite(count) || std::signbit(count))
        return std::nullopt;
    const auto unit = unitLength(std::string_view(rest, end));
    if (!unit)
        return std::nullopt;
    const Milliseconds exact = count * *unit;
    if (exact > MaxDuration)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(exact);
}

} // namespace almondmill
