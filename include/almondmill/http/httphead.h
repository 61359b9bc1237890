#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// One header field as received, with the sender's spelling of its name.
struct HttpField
{
    std::string name;
    std::string value;
};

/// The header fields of one message, in the order received. Names are case-insensitive.
class HttpFields
{
public:
    const std::vector<HttpField> &all() const { return m_fields; }

    /// Returns the value of the first field `name`.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Returns the number of fields `name`.
    std::size_t count(std::string_view name) const;

    void add(std::string_view name, std::string_view value);
    void clear() { m_fields.clear(); }

    /// Memory that the fields take.
    std::size_t capacity() const;

private:
    std::vector<HttpField> m_fields;
};

/// Start line and header fields of a request or an answer, as parsed and without normalisation.
struct HttpHead
{
    std::string method;  ///< Requests only.
    std::string target;  ///< Requests only: path and query.
    unsigned status = 0; ///< Answers only.
    int version = 11;    ///< HTTP version of the sender: 10 or 11.
    HttpFields fields;
};

/// Whether the number is the status of an answer, 100 to 599 (RFC 9110, 15). Parsers let other
/// numbers of three digits pass.
bool isStatus(unsigned number);

/// Compares two header names case-insensitively.
bool sameHeaderName(std::string_view first, std::string_view second);

/// Parses an unsigned decimal integer of at most 18 digits. Returns nothing for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace almondmill
