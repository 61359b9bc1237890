#include "answertext.h"

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/abslview.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

namespace almondmill::standin::rietwerk {

std::string bodyFor(const HttpRequest &request)
{
    const std::string method(request.method_string().data(), request.method_string().size());
    const std::string target(request.target().data(), request.target().size());
    return absl::StrCat(headerOf(request, "Request-Id"), " ", method, " ", target, " body ",
                        absl::Hex(hash64(request.body())), " account ", headerOf(request, "Tenant"),
                        "\n");
}

std::string eventFor(const std::string &requestId, std::uint64_t number)
{
    return absl::StrCat("id: ", number, "\ndata: ", requestId, "/", number, "\n\n");
}

std::string signatureOf(const std::string &endpointId, const std::string &requestId)
{
    return absl::StrCat(endpointId, ".", absl::Hex(hash64(endpointId + "/" + requestId)));
}

std::string headerOf(const HttpRequest &request, const std::string &name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

std::uint64_t requestedEventCount(const HttpRequest &request)
{
    const std::string usage = headerOf(request, "Token-Usage");
    const auto comma = usage.find(',');
    if (comma == std::string::npos)
        return 1;
    return parseNumber(std::string_view(usage).substr(comma + 1)).value_or(1);
}

} // namespace almondmill::standin::rietwerk
