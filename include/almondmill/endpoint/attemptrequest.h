#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace almondmill {

/// One header of an HTTP request or response.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// One attempt to send a request to one endpoint.
struct AttemptRequest
{
    std::string address; ///< "IP:port".
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string contentType;
    std::string attemptId; ///< Echoed by the endpoint; an answer with another id is dropped.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds readTimeout{30000}; ///< Longest time without a byte of the answer.

    /// Longest time that sent bytes or keepalive probes may remain unacknowledged.
    std::chrono::milliseconds unacknowledgedTimeout{5000};
};

} // namespace almondmill
