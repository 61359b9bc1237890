#include "almondmill/peers/streamorigins.h"

#include "almondmill/kernel/hash.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <map>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Waits for the owners' answers to a question and to its repetition: several round trips between
/// data centres, and little against the pause that the caller has seen already.
constexpr std::array<milliseconds, 2> AnswerTimeouts{milliseconds(30), milliseconds(50)};

/// Each of them gives two owners. In a small fleet, where many routers may be killed together, a
/// stream has up to four.
constexpr std::array<std::uint64_t, 2> OwnerSalts{0, 0x9e3779b97f4a7c15};
constexpr std::size_t MaxRoutersWithAllSalts = 128;

/// A stream that goes on is recorded again after this time.
constexpr auto RenewalInterval = SoftwareHistory::Retention / 4;

/// Origins of 14 bytes each that fit into one datagram.
constexpr std::size_t OriginsPerReport = 80;

} // namespace

/// A question to the owners of a stream.
struct StreamOrigins::Question
{
    StreamOriginQuestion text;
    asio::steady_timer timer; ///< Cancelled when the answer is certain.
    std::size_t awaited = 0;  ///< Owners that have not answered.
    bool isAnswered = false;  ///< By one owner at least.
    std::optional<SoftwareHash> software;
    RecentSoftware recent;
};

StreamOrigins::StreamOrigins(asio::io_context &loop, const SoftwareHistory &history)
    : m_loop(loop)
    , m_history(history)
{}

StreamOrigins::~StreamOrigins() = default;

void StreamOrigins::start(const std::string &self, Sender send)
{
    m_self = self;
    m_send = std::move(send);
    addRouter(self);
}

void StreamOrigins::addRouter(const std::string &name)
{
    m_owners.addRouter(name);
    ++m_routers;
}

void StreamOrigins::recordMessage(const std::string &router, bool isLeaving)
{
    m_owners.recordMessage(router, isLeaving);
}

void StreamOrigins::record(std::string_view requestId, std::string_view service,
                           SoftwareHash software, SteadyTime now)
{
    const std::uint64_t stream = hash64(requestId);
    const auto known = m_origins.find(stream);
    if (known != m_origins.end() && now - known->second.recordedAt < RenewalInterval)
        return;
    const std::uint32_t serviceHash = shortHash(service);
    const bool reports = mayBeMixed(serviceHash, now);
    store(stream, {software, now, serviceHash, reports});
    dropOld(now);
    if (!reports)
        return;
    for (const std::string &owner : ownersOf(stream))
        sendReport(owner, {{stream, software}});
}

asio::awaitable<std::optional<SoftwareHash>>
StreamOrigins::find(std::string requestId, std::string service, SteadyTime now)
{
    const std::uint64_t stream = hash64(requestId);
    const auto known = findKnown(stream, now);
    if (known)
        co_return known;
    const std::uint32_t serviceHash = shortHash(service);
    Question question{
            {++m_lastId, stream, serviceHash}, asio::steady_timer(m_loop), 0, false, std::nullopt,
            m_history.recent(serviceHash, now)};
    const std::vector<std::string> owners = ownersOf(stream);
    co_await ask(owners, question);
    if (question.software)
        co_return question.software;
    // Without an answer, another router may know of a version that this one doesn't. An endpoint is
    // registered before it serves, so the store knows it too.
    if (!owners.empty() && !question.isAnswered) {
        const bool isConfirmed = m_view.confirm && co_await m_view.confirm();
        if (!isConfirmed)
            co_return std::nullopt;
    }
    co_return soleSoftware(merge(question.recent, m_history.recent(serviceHash, now)));
}

asio::awaitable<void> StreamOrigins::ask(const std::vector<std::string> &owners, Question &question)
{
    const std::string bytes = encodeStreamOrigin(question.text);
    question.awaited = owners.size();
    m_questions[question.text.id] = &question;
    for (const milliseconds timeout : AnswerTimeouts) {
        if (question.awaited == 0)
            break;
        for (const std::string &owner : owners)
            m_send(owner, bytes);
        question.timer.expires_after(timeout);
        boost::system::error_code ignored; // The answers end the wait by cancelling the timer.
        co_await question.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (question.isAnswered)
            break;
    }
    m_questions.erase(question.text.id);
}

void StreamOrigins::reportOpen(SteadyTime now)
{
    std::map<std::string, std::vector<StreamOrigin>> reports;
    for (auto &[stream, origin] : m_origins) {
        if (origin.isReported || origin.service == 0 || !mayBeMixed(origin.service, now))
            continue;
        origin.isReported = true;
        for (const std::string &owner : ownersOf(stream))
            reports[owner].push_back({stream, origin.software});
    }
    for (auto &[owner, origins] : reports)
        sendReport(owner, std::move(origins));
}

void StreamOrigins::handleReport(const StreamOriginReport &report, SteadyTime now)
{
    for (const StreamOrigin &origin : report.origins)
        store(origin.stream, {origin.software, now, 0, true});
    dropOld(now);
}

StreamOriginReply StreamOrigins::answer(const StreamOriginQuestion &question, SteadyTime now) const
{
    return {question.id, findKnown(question.stream, now), m_history.recent(question.service, now)};
}

void StreamOrigins::handleReply(const StreamOriginReply &reply)
{
    const auto found = m_questions.find(reply.id);
    if (found == m_questions.end())
        return;
    Question &question = *found->second;
    question.isAnswered = true;
    question.recent = merge(question.recent, reply.recent);
    if (reply.software)
        question.software = reply.software;
    if (question.awaited > 0)
        --question.awaited;
    if (question.software || question.awaited == 0) {
        question.awaited = 0;
        question.timer.cancel();
    }
}

std::optional<SoftwareHash> StreamOrigins::findKnown(std::uint64_t stream, SteadyTime now) const
{
    const auto found = m_origins.find(stream);
    if (found == m_origins.end() || now - found->second.recordedAt >= SoftwareHistory::Retention)
        return std::nullopt;
    return found->second.software;
}

std::vector<std::string> StreamOrigins::ownersOf(std::uint64_t stream) const
{
    std::vector<std::string> owners;
    if (!m_send)
        return owners;
    const std::size_t salts = m_routers <= MaxRoutersWithAllSalts ? OwnerSalts.size() : 1;
    for (std::size_t salt = 0; salt < salts; ++salt) {
        for (const std::string &owner : m_owners.ownersOf(stream ^ OwnerSalts.at(salt))) {
            const bool isNew = std::find(owners.begin(), owners.end(), owner) == owners.end();
            if (!owner.empty() && owner != m_self && isNew)
                owners.push_back(owner);
        }
    }
    return owners;
}

void StreamOrigins::store(std::uint64_t stream, const Origin &origin)
{
    m_origins[stream] = origin;
    m_order.push_back(stream);
}

void StreamOrigins::dropOld(SteadyTime now)
{
    while (!m_order.empty()) {
        const auto oldest = m_origins.find(m_order.front());
        const bool isOld = oldest == m_origins.end()
                           || now - oldest->second.recordedAt >= SoftwareHistory::Retention;
        if (!isOld && m_order.size() <= MaxOrigins)
            return;
        if (oldest != m_origins.end() && (isOld || m_origins.size() > MaxOrigins))
            m_origins.erase(oldest);
        m_order.pop_front();
    }
}

bool StreamOrigins::mayBeMixed(std::uint32_t service, SteadyTime now) const
{
    return !soleSoftware(m_history.recent(service, now));
}

void StreamOrigins::sendReport(const std::string &owner, std::vector<StreamOrigin> origins) const
{
    for (std::size_t first = 0; first < origins.size(); first += OriginsPerReport) {
        const auto begin = origins.begin() + static_cast<std::ptrdiff_t>(first);
        const std::size_t count = std::min(OriginsPerReport, origins.size() - first);
        m_send(owner, encodeStreamOrigin(StreamOriginReport{
                              {begin, begin + static_cast<std::ptrdiff_t>(count)}}));
    }
}

} // namespace almondmill
