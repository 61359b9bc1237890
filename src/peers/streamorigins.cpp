#include "almondmill/peers/streamorigins.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Waits for the owners' answers to a question and to its repetition: several round trips between
/// data centres, and little against the pause that the caller has seen already.
constexpr std::array<milliseconds, 2> AnswerTimeouts{milliseconds(30), milliseconds(50)};

/// Owners of a stream. In a small fleet, where many routers may be killed together, there are more.
constexpr std::size_t OwnersPerStream = 2;
constexpr std::size_t OwnersPerStreamInSmallFleet = 4;
constexpr std::size_t MaxRoutersOfSmallFleet = 128;

/// Draws of owners until there are enough different ones. Each gives two.
constexpr std::uint64_t MaxOwnerDraws = 8;

/// A stream that goes on is recorded again after this time.
constexpr auto RenewalInterval = SoftwareHistory::Retention / 4;

/// Origins of 14 bytes each that fit into one datagram.
constexpr std::size_t OriginsPerReport = 80;

} // namespace

/// A question to the owners of a stream.
struct StreamOrigins::Question
{
    struct Owner
    {
        std::string name;
        std::uint32_t id = 0; ///< Of the question to this owner.
        bool hasAnswered = false;
    };

    Question(asio::io_context &loop, std::uint64_t askedStream, std::uint32_t askedService)
        : stream(askedStream)
        , service(askedService)
        , timer(loop)
    {}

    bool isAnsweredByAll() const { return answers == owners.size(); }

    /// Whether most owners, this router not counted as one, know of the same only version.
    bool isVouchedFor() const
    {
        return 2 * vouchers > ownerCount && soleSoftware(recent).has_value();
    }

    std::uint64_t stream;
    std::uint32_t service;
    asio::steady_timer timer;   ///< Cancelled when the answer is certain.
    std::vector<Owner> owners;  ///< Without this router.
    std::size_t ownerCount = 0; ///< With this router.
    std::size_t answers = 0;
    std::size_t vouchers = 0; ///< Owners that know of one version only.
    std::optional<SoftwareHash> software;
    RecentSoftware recent; ///< What this router and the owners that answered know together.
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
    for (const std::string &owner : otherOwnersOf(stream))
        sendReport(owner, {{stream, software}});
}

asio::awaitable<std::optional<SoftwareHash>>
StreamOrigins::find(std::string requestId, std::string service, SteadyTime now)
{
    const std::uint64_t stream = hash64(requestId);
    const auto known = findKnown(stream, now);
    if (known)
        co_return known;
    Question question(m_loop, stream, shortHash(service));
    question.recent = m_history.recent(question.service, now);
    question.ownerCount = ownersOf(stream).size();
    for (std::string &owner : otherOwnersOf(stream))
        question.owners.push_back({std::move(owner), ++m_lastId});
    co_await ask(question);
    if (question.software)
        co_return question.software;
    if (!soleSoftware(question.recent))
        co_return std::nullopt;
    const Trust trust = co_await establishTrust(question, now);
    EventLine("stream.origin")
            .add("stream", requestId)
            .add("owners", std::uint64_t(question.owners.size()))
            .add("answers", std::uint64_t(question.answers))
            .add("vouchers", std::uint64_t(question.vouchers))
            .add("confirmed", trust == Trust::OfView);
    if (trust == Trust::None)
        co_return std::nullopt;
    // The confirmation may have brought another version.
    co_return soleSoftware(merge(question.recent, m_history.recent(question.service, now)));
}

asio::awaitable<StreamOrigins::Trust> StreamOrigins::establishTrust(const Question &question,
                                                                    SteadyTime now)
{
    const bool isVouchedFor = question.isVouchedFor();
    if (isVouchedFor && m_view.isFresh && m_view.isFresh(now))
        co_return Trust::OfOwners;
    if (m_view.confirm && co_await m_view.confirm())
        co_return Trust::OfView;
    co_return isVouchedFor ? Trust::OfOwners : Trust::None;
}

asio::awaitable<void> StreamOrigins::ask(Question &question)
{
    for (const Question::Owner &owner : question.owners)
        m_questions[owner.id] = &question;
    for (const milliseconds timeout : AnswerTimeouts) {
        // Only an owner that hasn't answered yet can know where a stream of several versions began.
        const bool needsMore = question.answers == 0 || !soleSoftware(question.recent);
        if (question.software || question.isAnsweredByAll() || !needsMore)
            break;
        sendQuestion(question);
        question.timer.expires_after(timeout);
        boost::system::error_code ignored; // The answers end the wait by cancelling the timer.
        co_await question.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    for (const Question::Owner &owner : question.owners)
        m_questions.erase(owner.id);
}

void StreamOrigins::sendQuestion(Question &question)
{
    for (const Question::Owner &owner : question.owners) {
        if (!owner.hasAnswered)
            m_send(owner.name, encodeStreamOrigin(StreamOriginQuestion{owner.id, question.stream,
                                                                       question.service}));
    }
}

void StreamOrigins::reportOpen(SteadyTime now)
{
    std::map<std::string, std::vector<StreamOrigin>> reports;
    for (auto &[stream, origin] : m_origins) {
        if (origin.isReported || origin.service == 0 || !mayBeMixed(origin.service, now))
            continue;
        origin.isReported = true;
        for (const std::string &owner : otherOwnersOf(stream))
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
    const auto owner =
            std::find_if(question.owners.begin(), question.owners.end(),
                         [&](const Question::Owner &asked) { return asked.id == reply.id; });
    if (owner == question.owners.end() || std::exchange(owner->hasAnswered, true))
        return;
    ++question.answers;
    question.vouchers += soleSoftware(reply.recent) ? 1 : 0;
    question.recent = merge(question.recent, reply.recent);
    if (reply.software)
        question.software = reply.software;
    if (question.software || question.isAnsweredByAll())
        question.timer.cancel();
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
    const std::size_t most =
            m_routers <= MaxRoutersOfSmallFleet ? OwnersPerStreamInSmallFleet : OwnersPerStream;
    for (std::uint64_t draw = 0; draw < MaxOwnerDraws; ++draw) {
        for (const std::string &owner : m_owners.ownersOf(mixHash(stream, draw))) {
            const bool isNew = std::find(owners.begin(), owners.end(), owner) == owners.end();
            if (!owner.empty() && isNew && owners.size() < most)
                owners.push_back(owner);
        }
    }
    return owners;
}

std::vector<std::string> StreamOrigins::otherOwnersOf(std::uint64_t stream) const
{
    std::vector<std::string> owners = ownersOf(stream);
    std::erase(owners, m_self);
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
