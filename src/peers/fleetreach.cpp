#include "almondmill/peers/fleetreach.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/peers/permitissuers.h"
#include "almondmill/peers/quotamessages.h"

#include <algorithm>
#include <numeric>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Time for which probes are sent after they were last wanted.
constexpr milliseconds WantedTime{2000};

/// Interval between two probes: 37 bytes each with the headers of IP and UDP.
constexpr milliseconds ProbeInterval{40};

/// Latest probes that count, and the time for which they count.
constexpr std::size_t MaxResults = 50;
constexpr milliseconds ResultLifetime{3000};

/// Fewer results say too little.
constexpr std::size_t MinResults = 6;

/// Times between two checks of one router: the longer it has been silent, the rarer.
constexpr milliseconds ShortestCheckInterval{300};
constexpr milliseconds LongestCheckInterval{3000};
constexpr int CheckBackoff = 8;

} // namespace

FleetReach::FleetReach(PermitIssuers &issuers)
    : m_issuers(issuers)
{}

void FleetReach::want(SteadyTime now)
{
    if (!m_send)
        return;
    if (now >= m_wantedUntil)
        m_nextRouter = hash64(m_issuers.routers().front());
    m_wantedUntil = now + WantedTime;
}

void FleetReach::check(const std::string &router, SteadyTime now)
{
    Contact &contact = m_contacts[router];
    const auto silence =
            contact.unansweredSince ? now - *contact.unansweredSince : SteadyTime::duration::zero();
    const auto interval = std::clamp<SteadyTime::duration>(
            silence / CheckBackoff, ShortestCheckInterval, LongestCheckInterval);
    if (!m_send || now < contact.checkedAt + interval)
        return;
    contact.checkedAt = now;
    probe(router, false, now);
}

void FleetReach::poll(SteadyTime now)
{
    if (!m_send)
        return;
    m_questions.pollAll(now, m_send);
    const auto &routers = m_issuers.routers();
    if (routers.size() < 2 || now >= m_wantedUntil || now < m_nextProbeAt)
        return;
    m_nextProbeAt = now + ProbeInterval;
    probe(nextRouter(), true, now);
}

const std::string &FleetReach::nextRouter()
{
    // Steps of the golden section spread the latest probes evenly over all routers: those that are
    // cut off together may be neighbours in the list.
    constexpr double GoldenSection = 0.618;
    const std::size_t peers = m_issuers.routers().size() - 1;
    std::size_t step = std::max<std::size_t>(
            static_cast<std::size_t>(GoldenSection * static_cast<double>(peers)), 1);
    while (std::gcd(step, peers) != 1)
        ++step;
    m_nextRouter = (m_nextRouter + step) % peers;
    return m_issuers.routers()[m_nextRouter + 1]; // The first one is this router.
}

void FleetReach::probe(const std::string &router, bool isSample, SteadyTime now)
{
    const std::uint32_t id = m_questions.nextId();
    m_questions.open(
            id, router, [id] { return encodeQuota(ReachProbe{id}); },
            [this, router, isSample, now](std::optional<bool> reply) {
                recordResult(router, isSample, reply.has_value(), now);
            },
            now, m_send);
}

void FleetReach::recordResult(const std::string &router, bool isSample, bool isAnswered,
                              SteadyTime sentAt)
{
    Contact &contact = m_contacts[router];
    if (isAnswered) {
        contact.unansweredSince.reset();
        m_issuers.recordAnswered(router);
    } else if (!contact.unansweredSince) {
        contact.unansweredSince = sentAt;
    }
    if (!isSample)
        return;
    m_results.push_back({sentAt, isAnswered});
    if (m_results.size() > MaxResults)
        m_results.pop_front();
}

bool FleetReach::handleReply(const ReachReply &reply)
{
    return m_questions.complete(reply.id, true);
}

double FleetReach::fraction(SteadyTime now) const
{
    std::size_t count = 0;
    std::size_t answered = 0;
    for (const Result &result : m_results) {
        if (now - result.at > ResultLifetime)
            continue;
        ++count;
        answered += result.isAnswered ? 1 : 0;
    }
    if (count < MinResults)
        return 1;
    const auto peers = static_cast<double>(m_issuers.routers().size() - 1);
    return (1 + peers * static_cast<double>(answered) / static_cast<double>(count)) / (1 + peers);
}

std::optional<SteadyTime> FleetReach::unansweredSince(const std::string &router) const
{
    const auto found = m_contacts.find(router);
    return found == m_contacts.end() ? std::nullopt : found->second.unansweredSince;
}

} // namespace almondmill
