#include "almondmill/endpoint/statusclient.h"

#include "almondmill/http/boundedclient.h"
#include "almondmill/kernel/hash.h"

#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using Json = nlohmann::json;

/// Largest answer to a status call, with its head.
constexpr std::size_t MaxAnswerBytes = std::size_t(256) << 10U;

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

std::optional<EndpointStatus> requestStatus(BoundedClient &client)
{
    const auto result = client.Get("/v1/status");
    if (!result || result->status != 200)
        return std::nullopt;
    try {
        return toStatus(Json::parse(result->body));
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

StatusClient::StatusClient(std::string address, std::chrono::milliseconds timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

StatusClient::~StatusClient() = default;

std::optional<EndpointStatus> StatusClient::fetch()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_connection) {
        const auto status = requestStatus(*m_connection);
        if (status)
            return status;
    }
    m_connection = connect();
    const auto status = requestStatus(*m_connection);
    if (!status)
        m_connection.reset();
    return status;
}

std::unique_ptr<BoundedClient> StatusClient::connect() const
{
    auto client = std::make_unique<BoundedClient>(m_address, MaxAnswerBytes);
    client->setCallTimeout(m_timeout);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(m_timeout);
    client->set_read_timeout(m_timeout);
    client->set_write_timeout(m_timeout);
    return client;
}

} // namespace almondmill
