#pragma once

namespace almondmill {

struct HttpHead;

/// How the end of a message's body is found (RFC 9112, 6.3).
enum class MessageFraming {
    None,              ///< There is no body. Requests only.
    Length,            ///< The body has `Content-Length` bytes.
    Chunked,           ///< The body ends with its last chunk.
    UntilClose,        ///< The body ends with the connection. Answers only.
    Ambiguous,         ///< Two readers could find different ends: the message must be refused.
    UnsupportedCoding, ///< The end is known, but not the coding of what the chunks hold.
};

/// Determines the framing of a request from its head. Content-Length values aren't checked.
MessageFraming framingOfRequest(const HttpHead &head);

/// Determines the framing of an answer that has a body. An answer in a transfer coding other than
/// `chunked` is refused, because this router never asks for one and drops the field when it relays
/// the answer.
MessageFraming framingOfAnswer(const HttpHead &head);

/// Whether a message with this framing must not be used.
bool isRefused(MessageFraming framing);

} // namespace almondmill
