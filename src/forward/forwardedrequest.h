#pragma once

#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointexchange.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/kernel/time.h"
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
struct ForwardingContext;

/// One request on its way: its attempts, and what the caller got so far.
class ForwardedRequest
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    ForwardedRequest(ForwardingContext &context, SendPlanner &planner, CallerRequest &request,
                     CallerSession &session);
    ~ForwardedRequest();

    /// Answers the request. Returns whether the caller's connection can take another one.
    Awaitable<bool> run();

private:
    /// How an attempt ended.
    enum class End {
        Answered, ///< The caller has the whole answer.
        CallerGone,
        NotSent, ///< No byte left for the endpoint.
        NotRun,  ///< The endpoint said that it did not run the request.
        Failed,  ///< It may have run.
    };

    /// A failure that an endpoint answered with, passed on if nothing better comes.
    struct EndpointFailure
    {
        HttpHead head;
        std::string body;
    };

    /// A reason for which the router answers by itself.
    struct Refusal
    {
        unsigned status = 0;
        const char *reason = "";
    };

    std::optional<Refusal> resolve();
    std::optional<Refusal> findAccount();
    Awaitable<bool> tryEndpoints();
    Awaitable<End> attempt(SendPlanner::View view);
    Awaitable<End> exchangeAnswer(EndpointExchange &exchange);
    Awaitable<End> receiveAnswer(EndpointExchange &exchange);
    Awaitable<End> takeRefusal(EndpointExchange &exchange);
    Awaitable<End> takeFailure(EndpointExchange &exchange);
    Awaitable<End> relayWhole(EndpointExchange &exchange);
    Awaitable<End> relayEvents(EndpointExchange &exchange);
    Awaitable<bool> relayNewEvents(EndpointExchange &exchange);
    Awaitable<bool> endStream(EndpointExchange &exchange);
    Awaitable<bool> answerAfterFailures();
    Awaitable<bool> answer(const Refusal &refusal);

    End endOf(ExchangeError error, EndpointExchange &exchange, SteadyTime now);
    bool mayTryAgain(End end, SteadyTime now);
    std::uint64_t heldTokens() const;
    bool hasAttemptsLeft() const;
    bool isUsableSuccess(const EndpointExchange &exchange) const;
    SteadyTime attemptDeadline(std::chrono::milliseconds patience, SteadyTime now) const;
    PlacedRequest placed() const;
    void noteFirstByte(EndpointExchange &exchange, SteadyTime now);
    void stopReading();
    void logSend(const EndpointSend &send, const EndpointView &view) const;
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
    SteadyTime m_attemptAt;

    std::vector<SendPlanner::View> m_tried;
    std::uint32_t m_sends = 0; ///< Attempts that reached an endpoint and were not turned away.
    bool m_mayHaveRun = false;
    const char *m_lastReason = "no_endpoint";
    std::optional<EndpointFailure> m_failure;
    EndpointExchange *m_exchange = nullptr; ///< Of the attempt under way.
    std::uint64_t m_unread = 0;             ///< Prompt tokens counted at the attempt's endpoint.

    EventSplitter m_splitter;
    bool m_streamBegun = false; ///< The caller has the head and maybe events.
    SteadyTime m_firstByteAt;
};

} // namespace almondmill
