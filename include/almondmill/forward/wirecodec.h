#pragma once

#include "almondmill/kernel/registry.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

struct AnswerFacts;
struct CallerRequest;
struct EndpointSend;
struct HttpHead;

/// Translates between a platform's HTTP headers and the router's own types. Implementations
/// register by the name that the settings use; they hold no state and decide nothing.
class WireCodec
{
public:
    virtual ~WireCodec() = default;

    /// The body is left empty.
    virtual CallerRequest decodeRequest(const HttpHead &head) const = 0;

    /// The head of a request to an endpoint, up to and with the empty line.
    virtual std::string encodeRequest(const CallerRequest &request,
                                      const EndpointSend &send) const = 0;

    virtual AnswerFacts decodeAnswer(const HttpHead &head) const = 0;

    /// The head of an endpoint's answer as it goes to the caller. Without a length the body follows
    /// in chunks.
    virtual std::string encodeAnswer(const HttpHead &head, std::optional<std::size_t> bodyBytes,
                                     bool closes) const = 0;

    /// A whole answer of the router's own, with a short text as its body.
    virtual std::string encodeOwnAnswer(unsigned status, const std::string &requestId,
                                        std::optional<std::chrono::milliseconds> retryAfter,
                                        std::string_view text, bool closes) const = 0;
};

using WireCodecRegistry = Registry<WireCodec>;

} // namespace almondmill
