#include "almondmill/http/httphead.h"
#include "almondmill/kernel/abslview.h"

#include <absl/strings/match.h>

#include <algorithm>
#include <charconv>

namespace almondmill {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

constexpr std::size_t MaxDigits = 18; ///< Every number of this length fits 64 bits.

} // namespace

bool isStatus(unsigned number)
{
    return number >= MinStatus && number <= MaxStatus;
}

bool sameHeaderName(std::string_view first, std::string_view second)
{
    return absl::EqualsIgnoreCase(abslView(first), abslView(second));
}

std::optional<std::string_view> HttpFields::find(std::string_view name) const
{
    for (const HttpField &field : m_fields) {
        if (sameHeaderName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::size_t HttpFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_fields.begin(), m_fields.end(), [&](const HttpField &field) {
                return sameHeaderName(field.name, name);
            }));
}

void HttpFields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

std::size_t HttpFields::capacity() const
{
    std::size_t bytes = m_fields.capacity() * sizeof(HttpField);
    for (const HttpField &field : m_fields)
        bytes += field.name.capacity() + field.value.capacity();
    return bytes;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    if (text.empty() || text.size() > MaxDigits)
        return std::nullopt;
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace almondmill
