#include "support/quotafleet.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/peers/quotamessages.h"

#include <algorithm>
#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t DatagramHeaderBytes = 28;
constexpr milliseconds LinkTime{1};
constexpr milliseconds StateInterval{250};
constexpr milliseconds PollInterval{10};

/// Until the store has answered with a list, and until routers that start have registered.
constexpr milliseconds ListTime{60};
constexpr milliseconds FirstListTime{1600};

/// Time since the start of routers that know each other.
constexpr milliseconds FleetAge{12'000};

/// Prompts of the two kinds, and now and then a long one.
constexpr double LongPrompt = 9199;
constexpr double ShortPrompt = 875;
constexpr double LongestPrompt = 46000;

std::string nameOf(std::size_t router)
{
    return "front-" + std::to_string(router);
}

std::size_t numberOf(const std::string &name)
{
    return std::stoul(name.substr(name.find('-') + 1));
}

} // namespace

QuotaFleet::Parts::Parts(const std::string &name, QuotaFleet &fleet, std::size_t router)
    : issuers(name, fleet.m_now)
    , reach(issuers)
    , issuer(issuers, reach)
    , client(
              issuers, reach,
              [this](const QuotaQuestion &question, SteadyTime now) {
                  return issuer.answer(question, &quotas[question.account % quotas.size()], now);
              },
              fleet.m_metrics)
    , quotas(fleet.m_options.quotas)
{
    const auto send = [&fleet, router](const std::string &to, std::string_view bytes) {
        fleet.send(router, numberOf(to), std::string(bytes));
    };
    reach.start(send);
    client.start(send, [&fleet, router] {
        fleet.at(std::chrono::duration_cast<milliseconds>(fleet.m_now - fleet.m_start) + ListTime,
                 [&fleet, router] { fleet.list(router); });
    });
}

QuotaFleet::QuotaFleet(const Options &options)
    : m_options(options)
    , m_now(std::chrono::hours(1))
    , m_start(m_now)
    , m_routers(options.routers)
    , m_uses(options.quotas.size())
{
    if (options.knowEachOther)
        m_now -= FleetAge;
    for (std::size_t router = 0; router < options.routers; ++router)
        start(router);
    m_now = m_start;
    for (const AccountQuota &quota : options.quotas)
        m_exactBuckets.push_back({quota.burst, m_start});
    for (std::size_t router = 0; options.knowEachOther && router < options.routers; ++router)
        list(router);
}

std::uint64_t QuotaFleet::keyOf(std::size_t account) const
{
    // A multiple keeps the account readable from the key.
    const std::uint64_t count = m_options.quotas.size();
    return hash64("account-" + std::to_string(account)) / count / 2 * count + account;
}

void QuotaFleet::at(milliseconds time, std::function<void()> action)
{
    m_events.emplace(m_start + time, std::move(action));
}

void QuotaFleet::start(std::size_t router)
{
    m_routers[router].parts = std::make_unique<Parts>(nameOf(router), *this, router);
    m_events.emplace(m_now + FirstListTime, [this, router] { list(router); });
}

void QuotaFleet::list(std::size_t router)
{
    if (!m_routers[router].parts)
        return;
    PermitIssuers &issuers = m_routers[router].parts->issuers;
    issuers.recordList();
    const std::set<std::string> known(issuers.routers().begin(), issuers.routers().end());
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        // All routers that have ever run are registered.
        if (!known.contains(nameOf(other)))
            issuers.addRouter(nameOf(other));
        if (other != router)
            tellState(router, other);
    }
}

std::size_t QuotaFleet::issuerOf(std::size_t account) const
{
    KeyOwners owners;
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        if (m_routers[router].parts)
            owners.addRouter(nameOf(router));
    }
    return numberOf(owners.ownersOf(keyOf(account)).front());
}

void QuotaFleet::setQuota(std::size_t router, std::size_t account, const AccountQuota &quota)
{
    if (m_routers[router].parts)
        m_routers[router].parts->quotas[account] = quota;
}

bool QuotaFleet::isLost(std::size_t from, std::size_t to)
{
    return !m_routers[to].parts || m_routers[from].group != m_routers[to].group
           || std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.lostRatio;
}

void QuotaFleet::send(std::size_t from, std::size_t to, std::string bytes)
{
    m_routers[from].sentBytes += bytes.size() + DatagramHeaderBytes;
    if (isLost(from, to))
        return;
    m_events.emplace(m_now + LinkTime,
                     [this, from, to, copy = std::move(bytes)] { receive(from, to, copy); });
}

void QuotaFleet::receive(std::size_t from, std::size_t to, const std::string &bytes)
{
    if (!m_routers[to].parts)
        return;
    Parts &parts = *m_routers[to].parts;
    if (const auto question = decodeQuotaQuestion(bytes)) {
        const AccountQuota &quota = parts.quotas[question->account % parts.quotas.size()];
        send(to, from, encodeQuota(parts.issuer.answer(*question, &quota, m_now)));
    } else if (const auto reply = decodeQuotaReply(bytes)) {
        parts.client.handleReply(*reply, m_now);
    } else if (const auto probe = decodeReachProbe(bytes)) {
        send(to, from, encodeQuota(ReachReply{probe->id}));
    } else if (const auto reached = decodeReachReply(bytes)) {
        parts.reach.handleReply(*reached);
    }
}

void QuotaFleet::tellState(std::size_t from, std::size_t to)
{
    if (!m_routers[from].parts || isLost(from, to))
        return;
    m_events.emplace(m_now + LinkTime, [this, from, to] {
        if (!m_routers[to].parts)
            return;
        PermitIssuers &issuers = m_routers[to].parts->issuers;
        const auto &known = issuers.routers();
        if (std::find(known.begin(), known.end(), nameOf(from)) == known.end())
            issuers.addRouter(nameOf(from));
        issuers.recordMessage(nameOf(from), false, m_now);
    });
}

void QuotaFleet::exchangeStates()
{
    m_events.emplace(m_now + StateInterval, [this] { exchangeStates(); });
    constexpr std::size_t LargeFleet = 128;
    const std::size_t receivers = m_routers.size() > LargeFleet ? 1 : 3;
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        if (!m_routers[router].parts)
            continue;
        const auto &known = m_routers[router].parts->issuers.routers();
        for (std::size_t sent = 0; known.size() > 1 && sent < receivers; ++sent)
            tellState(router, numberOf(known[1 + ++m_routers[router].round % (known.size() - 1)]));
    }
}

void QuotaFleet::poll()
{
    m_events.emplace(m_now + PollInterval, [this] { poll(); });
    for (Router &router : m_routers) {
        if (!router.parts)
            continue;
        router.parts->client.poll(m_now);
        router.parts->reach.poll(m_now);
    }
}

double QuotaFleet::amountOf(std::size_t account)
{
    if (!m_options.quotas[account].countsTokens)
        return 1;
    const auto kind = m_random() % 200;
    if (kind == 0)
        return LongestPrompt;
    return kind <= 100 ? LongPrompt : ShortPrompt;
}

void QuotaFleet::request()
{
    constexpr double MeanAmount = (LongestPrompt + 100 * LongPrompt + 99 * ShortPrompt) / 200;
    std::vector<double> rates;
    for (const AccountQuota &quota : m_options.quotas)
        rates.push_back(quota.perSecond / (quota.countsTokens ? MeanAmount : 1));
    double sum = 0;
    for (const double rate : rates)
        sum += rate;
    const double pause = std::exponential_distribution<double>(sum * m_options.demand)(m_random);
    m_events.emplace(m_now
                             + std::chrono::duration_cast<SteadyTime::duration>(
                                     std::chrono::duration<double>(pause)),
                     [this] { request(); });
    const std::size_t account =
            std::discrete_distribution<std::size_t>(rates.begin(), rates.end())(m_random);
    Router &router = m_routers[m_random() % m_routers.size()];
    if (!router.parts)
        return;
    const double amount = amountOf(account);
    decideExactly(account, amount);
    router.parts->client.admit(keyOf(account), router.parts->quotas[account], amount, m_now,
                               [this, account, amount, askedAt = m_now](const QuotaResult &result) {
                                   decide(account, amount, askedAt, result);
                               });
}

void QuotaFleet::decideExactly(std::size_t account, double amount)
{
    const AccountQuota &quota = m_options.quotas[account];
    ExactBucket &bucket = m_exactBuckets[account];
    const std::chrono::duration<double> passed = m_now - bucket.filledAt;
    bucket.level = std::min(bucket.level + quota.perSecond * passed.count(), quota.burst);
    bucket.filledAt = m_now;
    if (bucket.level < std::min(amount, quota.burst))
        ++m_refusedByOneBucket;
    else
        bucket.level -= amount;
}

void QuotaFleet::decide(std::size_t account, double amount, SteadyTime askedAt,
                        const QuotaResult &result)
{
    m_waits.push_back(std::chrono::ceil<milliseconds>(m_now - askedAt));
    if (std::holds_alternative<QuotaAdmitted>(result))
        m_uses[account].push_back({m_now, amount});
    else
        m_refusals.push_back(m_now);
}

void QuotaFleet::run(milliseconds length)
{
    exchangeStates();
    poll();
    request();
    while (!m_events.empty() && m_events.begin()->first < m_start + length) {
        const auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
    m_now = m_start + length;
}

double QuotaFleet::mostInWindow(std::size_t account, milliseconds from) const
{
    double most = 0;
    double sum = 0;
    const auto &uses = m_uses[account];
    auto last = uses.begin();
    for (auto first = uses.begin(); first != uses.end(); ++first) {
        for (; last != uses.end() && last->at < first->at + seconds(8); ++last)
            sum += last->amount;
        if (first->at >= m_start + from)
            most = std::max(most, sum);
        sum -= first->amount;
    }
    return most;
}

double QuotaFleet::allowedInWindow(const AccountQuota &quota)
{
    constexpr double TokensOnTop = 110'000;
    const double allowed = (quota.perSecond * 8 + quota.burst) * 1.1;
    return quota.countsTokens ? allowed + TokensOnTop : allowed;
}

double QuotaFleet::admitted(std::size_t account, milliseconds from, milliseconds to) const
{
    double sum = 0;
    for (const Use &use : m_uses[account]) {
        if (use.at >= m_start + from && use.at < m_start + to)
            sum += use.amount;
    }
    return sum;
}

std::size_t QuotaFleet::refused(milliseconds from, milliseconds to) const
{
    return static_cast<std::size_t>(
            std::count_if(m_refusals.begin(), m_refusals.end(), [&](SteadyTime time) {
                return time >= m_start + from && time < m_start + to;
            }));
}

milliseconds QuotaFleet::wait(double part) const
{
    std::vector<milliseconds> waits = m_waits;
    std::sort(waits.begin(), waits.end());
    return waits.empty()
                   ? milliseconds(0)
                   : waits[static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1))];
}

double QuotaFleet::averageBytesPerSecond() const
{
    std::size_t bytes = 0;
    for (const Router &router : m_routers)
        bytes += router.sentBytes;
    return static_cast<double>(bytes) / static_cast<double>(m_routers.size())
           / std::chrono::duration<double>(m_now - m_start).count();
}

double QuotaFleet::mostBytesPerSecond() const
{
    std::size_t most = 0;
    for (const Router &router : m_routers)
        most = std::max(most, router.sentBytes);
    return static_cast<double>(most) / std::chrono::duration<double>(m_now - m_start).count();
}

} // namespace almondmill::test
