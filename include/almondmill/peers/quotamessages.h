#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Asks the issuer of an account's quota for the amounts of requests.
struct QuotaQuestion
{
    /// Requests in one question; the reply has a bit for each.
    static constexpr std::size_t MaxRequests = 16;

    std::uint32_t id = 0;               ///< Chosen by the asking router, repeated in the reply.
    std::uint64_t account = 0;          ///< Hash of the account's name.
    std::vector<std::uint32_t> amounts; ///< One for each request, in order of arrival.
    std::uint32_t creditWanted = 0;     ///< For requests that will follow.
    std::optional<std::uint32_t> knownLevel; ///< Of the bucket, as an issuer stated it last.
};

/// The answer to a question.
struct QuotaReply
{
    std::uint32_t id = 0;
    bool isIssuer = true;              ///< Otherwise the router issues nothing for this account.
    std::uint32_t grantedRequests = 0; ///< Bit for each amount of the question.
    std::uint32_t credit = 0;          ///< Granted beyond the amounts.
    std::chrono::milliseconds returnAfter{0}; ///< For the denied requests.
    std::uint32_t level = 0;                  ///< What is left in the bucket.
};

/// Asks a router whether it can be reached.
struct ReachProbe
{
    std::uint32_t id = 0;
};

/// The answer to a probe.
struct ReachReply
{
    std::uint32_t id = 0;
};

/// The nearest number that fits into a message.
std::uint32_t toMessageAmount(double amount);

/// Serializes a message to CBOR.
std::string encodeQuota(const QuotaQuestion &question);
std::string encodeQuota(const QuotaReply &reply);
std::string encodeQuota(const ReachProbe &probe);
std::string encodeQuota(const ReachReply &reply);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<QuotaQuestion> decodeQuotaQuestion(std::string_view bytes);
std::optional<QuotaReply> decodeQuotaReply(std::string_view bytes);
std::optional<ReachProbe> decodeReachProbe(std::string_view bytes);
std::optional<ReachReply> decodeReachReply(std::string_view bytes);

} // namespace almondmill
