#include "routerclient.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill::cli {

namespace {

constexpr std::chrono::milliseconds RouterTimeout{2000};
constexpr int StatusOk = 200;

httplib::Client makeClient(const std::string &address)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(RouterTimeout);
    client.set_read_timeout(RouterTimeout);
    client.set_write_timeout(RouterTimeout);
    return client;
}

} // namespace

std::optional<nlohmann::json> readDump(const std::string &address)
{
    auto client = makeClient(address);
    const auto result = client.Get("/dump");
    if (!result || result->status != StatusOk)
        return std::nullopt;
    auto json = nlohmann::json::parse(result->body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    return json;
}

bool postCommand(const std::string &address, const std::string &path)
{
    auto client = makeClient(address);
    const auto result = client.Post(path);
    return result && result->status == StatusOk;
}

} // namespace almondmill::cli
