#include "almondmill/request/headcheck.h"

#include "almondmill/http/httphead.h"
#include "almondmill/http/messageframing.h"
#include "almondmill/request/refusederror.h"

#include <httplib.h>

#include <charconv>
#include <cstdint>

namespace almondmill {

namespace {

constexpr const char *LengthHeader = "Content-Length";

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

MessageFraming framingOf(const httplib::Request &request)
{
    HttpHead head;
    head.version = request.version == "HTTP/1.0" ? 10 : 11;
    for (const auto &[name, value] : request.headers)
        head.fields.add(name, value);
    return framingOfRequest(head);
}

/// Whether the library reads the body of a request with this method.
bool readsBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH" || method == "DELETE";
}

void checkLength(const httplib::Request &request, std::size_t maxBytes)
{
    const MessageFraming framing = framingOf(request);
    if (framing == MessageFraming::UnsupportedCoding)
        refuse(501, "unsupported_coding", "The transfer coding is not known.");
    if (framing == MessageFraming::Ambiguous)
        refuse(400, "invalid_framing",
               "The body's length is told in two ways or in an unknown one.");
    const std::uint64_t length = framing == MessageFraming::Length ? contentLength(request) : 0;
    if (length > maxBytes)
        refuse(413, "body_too_large", "The body is too large.");
    const bool hasBody = framing == MessageFraming::Chunked || length != 0;
    // An unread body would be taken for the next request.
    if (hasBody && !readsBody(request.method))
        refuse(400, "unexpected_body", "A request with this method has no body.");
    const bool expectsBody = readsBody(request.method) && request.method != "DELETE";
    if (expectsBody && framing == MessageFraming::None)
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
