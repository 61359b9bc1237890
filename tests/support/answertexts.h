#pragma once

#include <string>

namespace almondmill::test {

/// How an endpoint marks the end of an answer's body.
enum class Framing { Chunked, Length, UntilClose };

/// Last chunk of a chunked body, without trailers.
inline constexpr const char *LastChunkText = "0\r\n\r\n";

/// An event of a stream with the number `id`.
std::string eventText(int id);

/// A chunk with these bytes.
std::string chunkText(const std::string &bytes);

/// The signed head of a 200 answer to the request `call`. `moreHeaders` are complete lines.
std::string signedHead(const std::string &call, const std::string &moreHeaders);

/// A signed event stream whose body is `body`, in that framing, after which the endpoint closes the
/// connection.
std::string streamAnswer(const std::string &call, const std::string &body, Framing framing);

/// Whether the message begins with this status.
bool hasStatus(const std::string &answer, int status);

/// Whether a chunked answer ends with its last chunk.
bool endsWithLastChunk(const std::string &answer);

/// Number of times `part` occurs in the text.
std::size_t countOf(const std::string &text, const std::string &part);

} // namespace almondmill::test
