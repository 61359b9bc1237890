#pragma once

#include "almondmill/kernel/registry.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

struct AnswerFraming;
struct AnswerMetadata;
struct CallerRequest;
struct AttemptParameters;
struct HttpHead;

/// Translates between a platform's HTTP headers and the router's own types. Implementations
/// register under the name that the settings use. They are stateless and contain no policy.
class WireCodec
{
public:
    virtual ~WireCodec() = default;

    /// Decodes the head of a caller's request; the body is left empty.
    virtual CallerRequest decodeRequest(const HttpHead &head) const = 0;

    /// The head of a request to an endpoint, including the empty line that ends it.
    virtual std::string encodeRequest(const CallerRequest &request,
                                      const AttemptParameters &send) const = 0;

    virtual AnswerMetadata decodeAnswer(const HttpHead &head) const = 0;

    /// The head of an endpoint's answer as it is relayed to the caller. Answers whose status has no
    /// body are not framed.
    virtual std::string encodeAnswer(const HttpHead &head, const AnswerFraming &framing) const = 0;

    /// A complete response that the router itself generates, with `text` as its body.
    virtual std::string encodeOwnAnswer(unsigned status, const std::string &requestId,
                                        std::optional<std::chrono::milliseconds> retryAfter,
                                        std::string_view text, bool closes) const = 0;
};

using WireCodecRegistry = Registry<WireCodec>;

} // namespace almondmill
