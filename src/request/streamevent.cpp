#include "almondmill/request/streamevent.h"

#include <charconv>
#include <string_view>

namespace almondmill {

namespace {

constexpr std::string_view IdField = "id:";
constexpr std::string_view DataField = "data:";
constexpr std::string_view TypeField = "event:";
constexpr std::string_view RetryField = "retry:";
constexpr std::string_view DoneValue = "[DONE]";

std::string_view valueOf(std::string_view line, std::string_view field)
{
    std::string_view value = line.substr(field.size());
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

/// Whether the line carries no piece of a stream: it is a comment or sets how the stream is read.
bool isControlLine(std::string_view line)
{
    return line.empty() || line.starts_with(':') || line.starts_with(TypeField)
           || line.starts_with(RetryField);
}

void parseLine(std::string_view line, StreamEvent &event)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    event.isControl = event.isControl && isControlLine(line);
    if (line.starts_with(IdField))
        event.id = toNumber(valueOf(line, IdField));
    if (line.starts_with(DataField)) {
        event.hasData = true;
        event.endOfStream = event.endOfStream || valueOf(line, DataField) == DoneValue;
    }
}

} // namespace

StreamEvent parseStreamEvent(std::string bytes)
{
    StreamEvent event;
    std::string_view rest = bytes;
    while (!rest.empty()) {
        const auto end = rest.find('\n');
        parseLine(rest.substr(0, end), event);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    event.bytes = std::move(bytes);
    return event;
}

} // namespace almondmill
