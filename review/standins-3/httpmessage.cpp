#include "httpmessage.h"

#include <cstdlib>
#include <sstream>
#include <strings.h>

namespace review {

std::string HttpMessage::field(const std::string &name) const
{
    for (const auto &[known, value] : fields) {
        if (strcasecmp(known.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string HttpMessage::word(int index) const
{
    std::istringstream line(startLine);
    std::string text;
    for (int at = 0; at <= index; ++at) {
        if (!(line >> text))
            return {};
    }
    return text;
}

int HttpMessage::status() const
{
    return std::atoi(word(1).c_str());
}

} // namespace review
