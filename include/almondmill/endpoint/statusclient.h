#pragma once

#include "almondmill/endpoint/endpointstatus.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace httplib {
class Client;
}

namespace almondmill {

/// Asks one endpoint for its status, on one connection as long as the endpoint keeps it open.
class StatusClient
{
public:
    /// `address` is "IP:port".
    StatusClient(std::string address, std::chrono::milliseconds timeout);
    ~StatusClient();
    StatusClient(const StatusClient &) = delete;
    StatusClient &operator=(const StatusClient &) = delete;

    const std::string &address() const { return m_address; }

    /// Blocks for at most about twice the timeout, or as long again when a kept connection gave no
    /// answer: it may have gone silent, so one just opened is tried. Nothing when there was no
    /// answer that can be used.
    std::optional<EndpointStatus> fetch();

private:
    std::unique_ptr<httplib::Client> connect() const;

    std::string m_address;
    std::chrono::milliseconds m_timeout;
    std::mutex m_mutex;
    std::unique_ptr<httplib::Client> m_kept;
};

} // namespace almondmill
