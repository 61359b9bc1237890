#pragma once

#include "almondmill/admission/retryreason.h"
#include "almondmill/forward/answertimer.h"
#include "almondmill/forward/attemptload.h"
#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointexchange.h"
#include "almondmill/forward/openrequests.h"
#include "almondmill/forward/partbreakers.h"
#include "almondmill/forward/replacementexchange.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/forward/streamcontinuity.h"
#include "almondmill/kernel/growinginterval.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/sendpermits.h"
#include "almondmill/request/eventsplitter.h"
#include "almondmill/route/routingtable.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

class CallerSession;
struct ClockTimes;
struct ForwardingContext;

/// A request being forwarded: its attempts and what has been sent to the caller so far.
class ForwardedRequest
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    ForwardedRequest(ForwardingContext &context, SendPlanner &planner, CallerRequest &request,
                     CallerSession &session);
    ~ForwardedRequest();

    /// Answers the request. Returns whether the caller's connection can be reused.
    Awaitable<bool> run();

private:
    /// Connecting within a region takes a few milliseconds. When a packet is lost, TCP retransmits
    /// it only after a second; trying another endpoint is faster.
    static constexpr std::chrono::milliseconds ConnectTimeout{250};

    /// Result of an attempt.
    enum class AttemptOutcome {
        Answered, ///< The complete answer was sent to the caller.
        CallerDisconnected,
        NotSent, ///< Nothing was sent to the endpoint.
        NotRun,  ///< The endpoint declared that it did not run the request.
        Failed,  ///< The endpoint may have run the request.
    };

    /// An endpoint's error response, forwarded to the caller if no later attempt succeeds.
    struct EndpointFailure
    {
        HttpHead head;
        std::optional<std::size_t> bodyBytes; ///< As the relayed head states it.
        std::string body;
    };

    /// An error that the router itself answers with.
    struct Refusal
    {
        unsigned status = 0;
        const char *reason = "";
    };

    std::optional<Refusal> resolveRoute();
    std::optional<Refusal> authenticate();
    /// Whether the account's quota, if it has one, admits the request.
    Awaitable<bool> takeQuota();
    /// Gives back what the request took of the quota; it did not run.
    void returnQuota();
    /// Finds out at which software the stream began that the caller takes up again. Returns false
    /// when that can't be known.
    Awaitable<bool> findOrigin();
    /// Records where the stream goes on, before its events are passed on.
    void recordOrigin(const EndpointView &view);
    Awaitable<bool> tryEndpoints();
    Awaitable<AttemptOutcome> attempt(SendPlanner::View view);
    Awaitable<AttemptOutcome> exchangeAnswer(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> receiveAnswer(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> handleRefusal(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> handleFailure(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> relayCompleteResponse(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> relayEvents(EndpointExchange &exchange);
    Awaitable<bool> relayReceivedEvents(EndpointExchange &exchange);
    Awaitable<AttemptOutcome> finishStream(EndpointExchange &exchange);
    bool isStreamTruncated(EndpointExchange &exchange) const;
    Awaitable<bool> answerAfterFailures();
    Awaitable<bool> answer(const Refusal &refusal);

    /// Records a crash of the engine if the attempt ended with it before its answer was settled.
    Awaitable<void> examineBreak(SendPlanner::View view);
    Awaitable<bool> refusesConnections(EndpointView &view);
    /// Records that complete events of the current attempt arrived.
    void recordEvents(SteadyTime now);
    /// Whether the engine went on with the current attempt's answer for so long that its start
    /// can't have ended the engine.
    bool isAnswerSettled() const;
    /// Records that one of the request's parts is open; returns false when none is.
    bool findsOpenPart(std::optional<PartBreakers::OpenPart> open);

    AttemptOutcome handleExchangeError(ExchangeError error, EndpointExchange &exchange,
                                       SteadyTime now);
    bool mayRetry(AttemptOutcome outcome);
    Awaitable<SendPlanner::View> nextEndpoint();
    /// Chooses an endpoint that isn't excluded and gets a permit for it, if it needs one.
    Awaitable<SendPlanner::View> takePermittedEndpoint(std::vector<SendPlanner::View> excluded);
    /// Gets a permit for the endpoint unless it needs none or one is at hand. Endpoints in
    /// `excluded` and those tried are no alternatives for this request.
    Awaitable<bool> obtainPermit(SendPlanner::View view, std::vector<SendPlanner::View> excluded);
    /// Gives back a permit that was not used.
    void returnPermit();
    /// Waits that long, at most until the deadline.
    Awaitable<void> pauseSearch(std::chrono::milliseconds pause);
    /// Chooses an endpoint that isn't excluded and takes the retry budget for it, if it needs any.
    SendPlanner::View takeEndpoint(const std::vector<SendPlanner::View> &excluded,
                                   RetryReason reason, const ClockTimes &now);
    SendPlanner::View pickWithSlot(std::vector<SendPlanner::View> excluded, const ClockTimes &now);
    /// Looks for another endpoint while that of the current attempt is silent.
    void seekReplacement(const ClockTimes &now);
    /// Gives the silent endpoint up if the other one is connected and may be sent the request.
    void useReplacement(ExchangeError error, const ClockTimes &now);
    bool mayBeReplaced(SteadyTime now) const;
    bool maySendTo(const SendPlanner::View &view, const ClockTimes &now) const;
    /// Whether a request that found no endpoint waits for one.
    bool waitsForEndpoint(const ClockTimes &now) const;
    /// Whether an endpoint may still be found for a stream that has begun.
    bool mayContinue(SteadyTime now) const;
    void recordSilence(EndpointView &view, SteadyTime now);
    AttemptOutcome handleBrokenStream(const char *reason, EndpointExchange &exchange,
                                      SteadyTime now);
    std::uint64_t heldTokens() const;
    bool hasAttemptsLeft(bool mayHaveRun) const;
    bool isUsableSuccess(const EndpointExchange &exchange) const;
    static bool mayHaveEvents(const EndpointExchange &exchange);
    SteadyTime attemptDeadline(std::chrono::milliseconds timeout, SteadyTime now) const;
    RoutedRequest placed() const;
    /// Learns the endpoint's speed from the answer, which is complete.
    void recordPerformance(EndpointView &view, SteadyTime now);
    void recordFirstByte(EndpointExchange &exchange, SteadyTime now);
    /// Retry-After of a refusal: the earliest return of a paused endpoint if none is available.
    std::chrono::milliseconds timeToRetryAfter(const ClockTimes &now) const;
    void logSend(const AttemptParameters &send, const EndpointView &view) const;
    void logEnd(std::string_view outcome, unsigned status) const;

    ForwardingContext &m_context;
    SendPlanner &m_planner;
    CallerRequest &m_request;
    CallerSession &m_session;
    std::shared_ptr<const RoutingTable> m_table;
    const Route *m_route = nullptr;
    const KeyedAccount *m_account = nullptr;
    std::string m_service;
    SteadyTime m_startedAt;
    SteadyTime m_deadline;
    SteadyTime m_attemptStartedAt;
    SteadyTime m_sentAt;         ///< Of the current attempt, on the boot clock.
    bool m_fetchesParts = false; ///< The endpoint of the current attempt fetches shared parts.

    std::vector<SendPlanner::View> m_triedEndpoints;
    std::uint32_t m_sendCount = 0; ///< Attempts sent, except those answered with "other endpoint".
    std::uint32_t m_refusals = 0; ///< Attempts sent that the endpoint refused for lack of capacity.
    bool m_mayHaveRun = false;
    bool m_needsRetryBudget = false; ///< The next attempt repeats one that was sent.
    bool m_wasRefused = false;       ///< The last attempt, while an earlier one may have run.
    GrowingInterval m_refusalPauses;
    bool m_silenceRecorded = false; ///< For the current attempt.
    ReplacementExchange m_replacement;
    /// Connected for the next attempt, with its retry budget taken.
    std::shared_ptr<EndpointExchange> m_nextExchange;
    std::optional<std::chrono::milliseconds> m_excessWait;  ///< At the best endpoint, if too long.
    std::optional<std::chrono::milliseconds> m_returnAfter; ///< Refused because of the load.
    std::optional<SendPermit> m_permit;                     ///< For the next send.
    std::optional<double> m_quotaAmount;                    ///< Taken of the account's quota.
    std::optional<std::chrono::milliseconds> m_quotaReturn; ///< When the quota refused.
    const char *m_lastReason = "no_endpoint";
    std::optional<EndpointFailure> m_failure;
    EndpointExchange *m_exchange = nullptr; ///< Of the current attempt; null between attempts.
    std::optional<AttemptLoad> m_load;      ///< Of the current attempt.
    std::optional<OpenRequestCount> m_openCount;
    /// Of the current attempt; empty when it continues a stream that began elsewhere.
    std::optional<AnswerTimer> m_timer;

    PartBreakers::Parts m_parts;       ///< Of the prompt, those that other requests may share.
    PartBreakers::Parts m_testedParts; ///< Half-open parts that this request tests.
    std::optional<PartBreakers::OpenPart> m_openPart;
    bool m_hasBroken = false;                    ///< The connection of the current attempt broke.
    std::optional<SteadyTime> m_answerStartedAt; ///< First event of the current attempt.
    bool m_isAnswerRecorded = false; ///< The current attempt's answer was recorded as sound.

    EventSplitter m_splitter;
    StreamContinuity m_continuity;
    bool m_isDiscontinued = false;  ///< The current attempt's events don't continue the stream.
    bool m_attemptSentData = false; ///< The current attempt's stream contained an event with data.
    bool m_streamStarted = false;   ///< The head, and possibly events, were sent to the caller.
    SteadyTime m_firstByteAt;
    SteadyTime m_lastEventsAt;
};

} // namespace almondmill
