#include "almondmill/kernel/finding.h"

namespace almondmill {

std::string Finding::text() const
{
    std::string result = "[" + id + "] " + file;
    if (line != 0)
        result += ":" + std::to_string(line);
    result += ": ";
    if (!key.empty())
        result += key + ": ";
    return result + message;
}

} // namespace almondmill
