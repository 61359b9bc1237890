#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What the head of an endpoint's answer says, decoded.
struct AnswerFacts
{
    unsigned status = 0;
    std::string requestId;      ///< Of the request that this answers; empty when it names none.
    std::string endpointId;     ///< Of who answers; empty when it doesn't say.
    bool isSigned = false;      ///< Carries the endpoint's signature.
    bool notRun = false;        ///< The endpoint says that the request did not run.
    bool otherEndpoint = false; ///< It refused because lifetime or weights are not as expected.
    bool closes = false;        ///< The connection ends after this answer.
    std::optional<std::chrono::milliseconds> keepAlive; ///< The endpoint's idle timeout.
    std::optional<std::uint64_t> weightsVersion;
};

} // namespace almondmill
