#include "almondmill/endpoint/forwardedheaders.h"

#include "almondmill/endpoint/headernames.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace almondmill {

namespace {

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1), headers that are set for
/// each attempt, the API key, and headers that the HTTP library adds.
constexpr std::array WithheldHeaders{"Connection",
                                     "Keep-Alive",
                                     "Proxy-Authenticate",
                                     "Proxy-Authorization",
                                     "Proxy-Connection",
                                     "TE",
                                     "Trailer",
                                     "Transfer-Encoding",
                                     "Upgrade",
                                     "Host",
                                     "Content-Length",
                                     "Content-Type",
                                     "Authorization",
                                     "Accept-Encoding",
                                     "Expect",
                                     "REMOTE_ADDR",
                                     "REMOTE_PORT",
                                     "LOCAL_ADDR",
                                     "LOCAL_PORT",
                                     AttemptIdHeader,
                                     IncarnationHeader,
                                     LoadHeader,
                                     ServedByHeader};

bool isWithheld(const std::string &name)
{
    return std::any_of(WithheldHeaders.begin(), WithheldHeaders.end(), [&](const char *withheld) {
        return strcasecmp(name.c_str(), withheld) == 0;
    });
}

} // namespace

std::vector<HttpHeader> forwardedHeaders(const httplib::Headers &headers)
{
    std::vector<HttpHeader> forwarded;
    for (const auto &[name, value] : headers) {
        if (!isWithheld(name))
            forwarded.push_back({name, value});
    }
    return forwarded;
}

} // namespace almondmill
