#pragma once

#include <cstddef>

namespace httplib {
struct Request;
}

namespace almondmill {

/// Limits that are checked on a request's headers.
struct HeadLimits
{
    std::size_t headerCount = 0;
    std::size_t bodyBytes = 0;
};

/// Whether the path is a completions endpoint of the API.
bool isModelPath(const httplib::Request &request);

/// Whether the path is that of the model list.
bool isModelListPath(const httplib::Request &request);

/// Checks the headers, the method and the declared length of a request before its body is read.
/// Throws RefusedError with status 400, 405, 411, 413, 415, 431 or 501.
void checkHead(const httplib::Request &request, const HeadLimits &limits);

} // namespace almondmill
