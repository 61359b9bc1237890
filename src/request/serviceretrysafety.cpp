#include "almondmill/request/serviceretrysafety.h"

#include "almondmill/config/service.h"

#include <sstream>
#include <vector>

namespace almondmill {

namespace {

bool isIdempotent(const std::string &method)
{
    return method != "POST" && method != "PATCH";
}

/// Whether `entry`, such as "POST /booking/slots", matches the method and is a prefix of the path.
bool covers(const std::string &entry, const std::string &method, const std::string &path)
{
    const auto space = entry.find(' ');
    if (space == std::string::npos || entry.substr(0, space) != method)
        return false;
    return path.starts_with(normalizedPath(entry.substr(space + 1)));
}

} // namespace

ServiceRetrySafety serviceRetrySafety(const Service &service, const std::string &method,
                                      const std::string &path)
{
    const std::string normalized = normalizedPath(path);
    for (const std::string &entry : service.notRepeatable) {
        if (covers(entry, method, normalized))
            return ServiceRetrySafety::AtMostOnce;
    }
    return isIdempotent(method) ? ServiceRetrySafety::Repeatable
                                : ServiceRetrySafety::NonIdempotent;
}

std::string normalizedPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::istringstream stream(path);
    std::string segment;
    while (std::getline(stream, segment, '/')) {
        if (segment.empty() || segment == ".")
            continue;
        if (segment != "..")
            segments.push_back(segment);
        else if (!segments.empty())
            segments.pop_back();
    }
    std::string normalized;
    for (const std::string &part : segments)
        normalized += "/" + part;
    return normalized.empty() ? "/" : normalized;
}

} // namespace almondmill
