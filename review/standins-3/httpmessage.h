#pragma once

#include <string>
#include <utility>
#include <vector>

namespace review {

/// Head and body of an HTTP/1.1 message.
struct HttpMessage
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Value of a field, empty when there is none. Names are compared without case.
    std::string field(const std::string &name) const;

    /// Word `index` of the start line, counted from 0.
    std::string word(int index) const;

    /// Status of an answer; 0 when it has none.
    int status() const;
};

} // namespace review
