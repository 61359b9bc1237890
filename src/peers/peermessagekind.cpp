#include "almondmill/peers/peermessagekind.h"

#include "layoutversions.h"

namespace almondmill {

namespace {

/// Heads of CBOR items: the major type in the upper three bits, and below it the value or the
/// number of bytes of the value that follow.
constexpr unsigned MajorTypeShift = 5;
constexpr unsigned ArgumentMask = 0x1f;
constexpr unsigned UnsignedInteger = 0;
constexpr unsigned Array = 4;
constexpr unsigned FirstLongArgument = 24; ///< 24, 25, 26: one, two, four bytes follow.
constexpr unsigned LastLongArgument = 26;

/// Reads the head of an item of type `major` off the front of `bytes`.
std::optional<std::uint32_t> takeHead(std::string_view &bytes, unsigned major)
{
    if (bytes.empty())
        return std::nullopt;
    const auto head = static_cast<unsigned char>(bytes.front());
    const unsigned argument = head & ArgumentMask;
    if (head >> MajorTypeShift != major || argument > LastLongArgument)
        return std::nullopt;
    bytes.remove_prefix(1);
    if (argument < FirstLongArgument)
        return argument;
    const std::size_t length = std::size_t(1) << (argument - FirstLongArgument);
    if (bytes.size() < length)
        return std::nullopt;
    std::uint32_t value = 0;
    for (std::size_t at = 0; at < length; ++at)
        value = value << 8U | static_cast<unsigned char>(bytes[at]);
    bytes.remove_prefix(length);
    return value;
}

} // namespace

const char *nameOf(PeerMessageKind kind)
{
    switch (kind) {
    case PeerMessageKind::State:
        return "state";
    case PeerMessageKind::StoreUpdate:
        return "store_update";
    case PeerMessageKind::Placement:
        return "placement";
    case PeerMessageKind::PartLookup:
        return "part_lookup";
    case PeerMessageKind::PartReport:
        return "part_report";
    case PeerMessageKind::Evidence:
        return "evidence";
    case PeerMessageKind::RateLimit:
        return "rate_limit";
    case PeerMessageKind::Permit:
        return "permit";
    case PeerMessageKind::Quota:
        return "quota";
    case PeerMessageKind::Pace:
        return "pace";
    case PeerMessageKind::StreamOrigin:
        return "stream_origin";
    case PeerMessageKind::Other:
        break;
    }
    return "other";
}

std::optional<std::uint32_t> peekLayout(std::string_view bytes)
{
    const auto fields = takeHead(bytes, Array);
    return fields ? takeHead(bytes, UnsignedInteger) : std::nullopt;
}

PeerMessageKind peekKind(std::string_view bytes)
{
    switch (peekLayout(bytes).value_or(0)) {
    case layout::State:
        return PeerMessageKind::State;
    case layout::StoreUpdate:
        return PeerMessageKind::StoreUpdate;
    case layout::Placement:
        return PeerMessageKind::Placement;
    case layout::PartLookupRequest:
    case layout::PartLookupReply:
        return PeerMessageKind::PartLookup;
    case layout::Evidence:
        return PeerMessageKind::Evidence;
    case layout::RateLimit:
        return PeerMessageKind::RateLimit;
    case layout::PermitRequest:
    case layout::PermitReply:
    case layout::PermitReturn:
        return PeerMessageKind::Permit;
    case layout::QuotaQuestion:
    case layout::QuotaReply:
    case layout::ReachProbe:
    case layout::ReachReply:
        return PeerMessageKind::Quota;
    case layout::Pace:
        return PeerMessageKind::Pace;
    case layout::StreamOriginReport:
    case layout::StreamOriginQuestion:
    case layout::StreamOriginReply:
        return PeerMessageKind::StreamOrigin;
    default:
        return PeerMessageKind::Other;
    }
}

} // namespace almondmill
