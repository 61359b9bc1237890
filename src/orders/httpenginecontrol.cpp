#include "almondmill/orders/httpenginecontrol.h"

#include "almondmill/http/boundedclient.h"

#include <nlohmann/json.hpp>

#include <memory>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr const char *JsonType = "application/json";

/// Largest answer of an engine to a status call or an order, with its head.
constexpr std::size_t MaxAnswerBytes = std::size_t(256) << 10U;

std::unique_ptr<BoundedClient> makeClient(const std::string &address,
                                          std::chrono::milliseconds timeout)
{
    auto client = std::make_unique<BoundedClient>(address, MaxAnswerBytes);
    client->setCallTimeout(timeout);
    client->set_keep_alive(false);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    return client;
}

} // namespace

std::optional<EngineStatus> HttpEngineControl::status(const std::string &address,
                                                      std::chrono::milliseconds timeout)
{
    auto client = makeClient(address, timeout);
    const auto result = client->Get("/v1/status");
    if (!result || result->status != 200)
        return std::nullopt;
    const Json json = Json::parse(result->body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    EngineStatus status;
    status.incarnation = json.value("incarnation", std::uint64_t{0});
    status.weights = json.value("weights", "");
    status.loading = json.value("loading", false);
    return status;
}

OrderResult HttpEngineControl::order(const std::string &address, const EngineOrder &order,
                                     std::chrono::milliseconds timeout)
{
    auto client = makeClient(address, timeout);
    const Json body{{"weights", order.weights}, {"fencing", order.fencing}};
    const auto result = client->Post("/v1/orders", body.dump(), JsonType);
    if (!result)
        return OrderUnanswered{httplib::to_string(result.error())};
    if (result->status == 200)
        return OrderAccepted{};
    const Json answer = Json::parse(result->body, nullptr, false);
    if (result->status == 409 && answer.is_object())
        return OrderFenced{answer.value("fencing", std::uint64_t{0})};
    return OrderUnanswered{"unexpected HTTP status " + std::to_string(result->status)};
}

} // namespace almondmill
