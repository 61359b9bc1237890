#pragma once

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace almondmill {

/// One header of a request or an answer.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// One sending of a request to one endpoint.
struct AttemptRequest
{
    std::string address; ///< "IP:port".
    std::string method;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    std::string contentType;
    std::string attemptId; ///< Echoed by the endpoint; an answer to another id is dropped.
    std::chrono::milliseconds connectTimeout{500};
    std::chrono::milliseconds readTimeout{30000}; ///< Longest silence before the attempt fails.

    /// Longest time that bytes sent or keepalive probes may go without an acknowledgement.
    std::chrono::milliseconds unacknowledgedTimeout{5000};
};

} // namespace almondmill
