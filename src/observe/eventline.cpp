#include "almondmill/observe/eventline.h"

#include "almondmill/observe/eventlog.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += c == '\n' || c == '\r' ? ' ' : c;
    }
    text += '"';
}

} // namespace

EventLine::EventLine(std::string_view event)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    m_text = absl::StrCat("time_ms=", now.count(), " event=");
    m_text.append(event);
}

EventLine::~EventLine()
{
    m_text += '\n';
    eventLog().write(m_text);
}

EventLine &EventLine::add(std::string_view key, std::string_view value)
{
    m_text.append(" ").append(key).append("=");
    if (needsQuotes(value))
        appendQuoted(m_text, value);
    else
        m_text.append(value);
    return *this;
}

EventLine &EventLine::add(std::string_view key, const char *value)
{
    return add(key, std::string_view(value));
}

EventLine &EventLine::add(std::string_view key, const std::string &value)
{
    return add(key, std::string_view(value));
}

EventLine &EventLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::to_string(value));
}

EventLine &EventLine::add(std::string_view key, std::uint32_t value)
{
    return add(key, std::to_string(value));
}

EventLine &EventLine::add(std::string_view key, int value)
{
    return add(key, std::to_string(value));
}

EventLine &EventLine::add(std::string_view key, double value)
{
    return add(key, absl::StrCat(value));
}

EventLine &EventLine::add(std::string_view key, bool value)
{
    return add(key, value ? "true" : "false");
}

EventLine &EventLine::add(std::string_view key, std::chrono::milliseconds value)
{
    return add(key, std::to_string(value.count()));
}

} // namespace almondmill
