#include "almondmill/endpoint/statusclient.h"

#include "almondmill/kernel/hash.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using Json = nlohmann::json;

EndpointStatus toStatus(const Json &json)
{
    EndpointStatus status;
    status.incarnation = json.value("incarnation", std::uint64_t{0});
    const std::string weights = json.value("weights", "");
    status.weightsHash = weights.empty() ? 0 : hash64(weights);
    status.inFlight = json.value("in_flight", std::uint32_t{0});
    status.leaving = json.value("leaving", false);
    return status;
}

} // namespace

std::optional<EndpointStatus> fetchStatus(const std::string &address,
                                          std::chrono::milliseconds timeout)
{
    httplib::Client client("http://" + address);
    client.set_keep_alive(false);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    const auto result = client.Get("/v1/status");
    if (!result || result->status != 200)
        return std::nullopt;
    try {
        return toStatus(Json::parse(result->body));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace almondmill
