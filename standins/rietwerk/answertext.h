#pragma once

#include "../httpconnection.h"

#include <cstdint>
#include <string>

namespace almondmill::standin::rietwerk {

/// Body with which every endpoint answers a request. It depends only on the request, so that a
/// caller can verify that it received the answer to its own request.
std::string bodyFor(const HttpRequest &request);

/// Server-sent event with its id and the terminating blank line.
std::string eventFor(const std::string &requestId, std::uint64_t number);

/// Server-Signature of the answer, by which a caller verifies that `endpointId` has answered it.
std::string signatureOf(const std::string &endpointId, const std::string &requestId);

/// Value of a header field; empty if the request does not contain it.
std::string headerOf(const HttpRequest &request, const std::string &name);

/// Number of events that a request asks for: the maximum output tokens in its Token-Usage header,
/// or one if that is missing or malformed.
std::uint64_t requestedEventCount(const HttpRequest &request);

} // namespace almondmill::standin::rietwerk
