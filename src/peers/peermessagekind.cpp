#include "almondmill/peers/peermessagekind.h"

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
    case 3:
        return PeerMessageKind::State;
    case 103:
        return PeerMessageKind::StoreUpdate;
    case 201:
        return PeerMessageKind::Placement;
    case 202:
    case 203:
        return PeerMessageKind::PartLookup;
    case 301:
        return PeerMessageKind::Evidence;
    case 401:
        return PeerMessageKind::RateLimit;
    case 402:
    case 403:
    case 404:
        return PeerMessageKind::Permit;
    default:
        return PeerMessageKind::Other;
    }
}

} // namespace almondmill
