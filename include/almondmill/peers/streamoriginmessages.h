#pragma once

#include "almondmill/directory/softwarehash.h"
#include "almondmill/forward/recentsoftware.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// The software that began a stream.
struct StreamOrigin
{
    std::uint64_t stream = 0; ///< Hash of the id of the request that brought its first event.
    SoftwareHash software = 0;
};

/// Tells the owners of streams where these began.
struct StreamOriginReport
{
    std::vector<StreamOrigin> origins;
};

/// Asks an owner of a stream where it began.
struct StreamOriginQuestion
{
    std::uint32_t id = 0;
    std::uint64_t stream = 0;
    std::uint32_t service = 0; ///< Short hash of the service that the stream is routed to.
};

/// Answer to a question.
struct StreamOriginReply
{
    std::uint32_t id = 0;
    std::optional<SoftwareHash> software; ///< Nothing when the owner doesn't know the stream.
    RecentSoftware recent;                ///< What the owner knows of the service.
};

// Serialization to CBOR. The decoders return nothing for bytes that are not such a message.

std::string encodeStreamOrigin(const StreamOriginReport &report);
std::string encodeStreamOrigin(const StreamOriginQuestion &question);
std::string encodeStreamOrigin(const StreamOriginReply &reply);
std::optional<StreamOriginReport> decodeStreamOriginReport(std::string_view bytes);
std::optional<StreamOriginQuestion> decodeStreamOriginQuestion(std::string_view bytes);
std::optional<StreamOriginReply> decodeStreamOriginReply(std::string_view bytes);

} // namespace almondmill
