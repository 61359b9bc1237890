#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// One header field as it came, with its name in the sender's spelling.
struct HttpField
{
    std::string name;
    std::string value;
};

/// The header fields of one message, in order. Names are compared without regard to case.
class HttpFields
{
public:
    const std::vector<HttpField> &all() const { return m_fields; }

    /// Value of the first field `name`.
    std::optional<std::string_view> find(std::string_view name) const;

    /// How often the field occurs.
    std::size_t count(std::string_view name) const;

    void add(std::string_view name, std::string_view value);
    void clear() { m_fields.clear(); }

private:
    std::vector<HttpField> m_fields;
};

/// Start line and header of a request or an answer, as parsed; nothing is normalised.
struct HttpHead
{
    std::string method;  ///< Of a request.
    std::string target;  ///< Of a request: path and query.
    unsigned status = 0; ///< Of an answer.
    HttpFields fields;
};

/// Whether two header names are the same, without regard to case.
bool sameHeaderName(std::string_view first, std::string_view second);

/// A whole number of at most 18 digits; nothing for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace almondmill
