#pragma once

#include "../httpconnection.h"

#include <cstdint>
#include <string>

namespace almondmill::standin::rietwerk {

/// Body with which every endpoint answers a request: it follows from the request alone, so that a
/// caller can tell its own answer from any other.
std::string bodyFor(const HttpRequest &request);

/// Text of one event of a stream, with its id and the blank line.
std::string eventFor(const std::string &requestId, std::uint64_t number);

/// Proof that the endpoint `endpointId` answered that request.
std::string signatureOf(const std::string &endpointId, const std::string &requestId);

/// Value of a header; empty when it isn't there.
std::string headerOf(const HttpRequest &request, const std::string &name);

/// Events that a request asks for: its most output tokens.
std::uint64_t eventsAskedFor(const HttpRequest &request);

} // namespace almondmill::standin::rietwerk
