#include "almondmill/request/headcheck.h"

#include "almondmill/request/refusederror.h"

#include <httplib.h>

#include <charconv>
#include <cstdint>

namespace almondmill {

namespace {

constexpr const char *LengthHeader = "Content-Length";
constexpr const char *TransferHeader = "Transfer-Encoding";

[[noreturn]] void refuse(int status, const char *code, const char *message)
{
    throw RefusedError({status, code, message, Executed::No});
}

std::uint64_t contentLength(const httplib::Request &request)
{
    const std::string text = request.get_header_value(LengthHeader);
    std::uint64_t length = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, length);
    if (error != std::errc() || stop != end || request.get_header_value_count(LengthHeader) > 1)
        refuse(400, "invalid_length", "The Content-Length is not a number.");
    return length;
}

void checkMethod(const httplib::Request &request)
{
    if (isModelPath(request) && request.method != "POST")
        refuse(405, "method_not_allowed", "Completions are asked for with POST.");
    if (isModelListPath(request) && request.method != "GET")
        refuse(405, "method_not_allowed", "The list of models is read with GET.");
}

void checkLength(const httplib::Request &request, std::size_t maxBytes)
{
    const bool hasLength = request.has_header(LengthHeader);
    const bool hasTransfer = request.has_header(TransferHeader);
    if (hasTransfer
        && (hasLength || request.get_header_value(TransferHeader) != "chunked"
            || request.get_header_value_count(TransferHeader) > 1))
        refuse(400, "invalid_framing",
               "The body's length is told in two ways or in an unknown one.");
    if (hasLength && contentLength(request) > maxBytes)
        refuse(413, "body_too_large", "The body is too large.");
    const bool expectsBody =
            request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (expectsBody && !hasLength && !hasTransfer)
        refuse(411, "length_required", "The body's length is missing.");
}

} // namespace

bool isModelPath(const httplib::Request &request)
{
    return request.path == "/v1/completions" || request.path == "/v1/chat/completions";
}

bool isModelListPath(const httplib::Request &request)
{
    return request.path == "/v1/models";
}

void checkHead(const httplib::Request &request, const HeadLimits &limits)
{
    if (request.headers.size() > limits.headerCount)
        refuse(431, "headers_too_large", "There are too many headers.");
    checkMethod(request);
    checkLength(request, limits.bodyBytes);
    if (request.has_header("Content-Encoding"))
        refuse(415, "unsupported_encoding", "Bodies must not be compressed.");
}

} // namespace almondmill
