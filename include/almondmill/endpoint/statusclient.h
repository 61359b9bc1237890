#pragma once

#include "almondmill/endpoint/endpointstatus.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace almondmill {

class BoundedClient;

/// Requests the status of one endpoint, and reuses the connection while the endpoint keeps it open.
class StatusClient
{
public:
    /// `address` is "IP:port".
    StatusClient(std::string address, std::chrono::milliseconds timeout);
    ~StatusClient();
    StatusClient(const StatusClient &) = delete;
    StatusClient &operator=(const StatusClient &) = delete;

    const std::string &address() const { return m_address; }

    /// Returns the status, or nothing when there was no usable answer. Blocks for at most about
    /// twice the timeout. When a reused connection gives no answer, the request is retried on a new
    /// one, because an idle connection may have become unresponsive; this doubles the longest time.
    std::optional<EndpointStatus> fetch();

private:
    std::unique_ptr<BoundedClient> connect() const;

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::unique_ptr<BoundedClient> m_connection;
};

} // namespace almondmill
