#pragma once

#include <cstddef>

namespace httplib {
struct Request;
}

namespace almondmill {

/// Limits that a request's headers must keep.
struct HeadLimits
{
    std::size_t headerCount = 0;
    std::size_t bodyBytes = 0;
};

/// Whether the path is one of completions.
bool isModelPath(const httplib::Request &request);

/// Whether the path lists the models.
bool isModelListPath(const httplib::Request &request);

/// Checks headers, method and length of a request before its body is read. Throws RefusedError with
/// status 400, 405, 411, 413, 415 or 431.
void checkHead(const httplib::Request &request, const HeadLimits &limits);

} // namespace almondmill
