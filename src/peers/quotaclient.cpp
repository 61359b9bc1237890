#include "almondmill/peers/quotaclient.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/fleetreach.h"
#include "almondmill/peers/permitissuers.h"
#include "almondmill/peers/quotareturns.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Credit is for the requests of this time, and ends after the other one.
constexpr double CreditSeconds = 0.5;
constexpr milliseconds CreditLifetime{2000};

/// Time for which the level of the last issuer's bucket is passed on to the next one.
constexpr milliseconds LevelLifetime{5000};

/// A level is passed on as it was stated for this time, as other routers take what comes in.
constexpr milliseconds LevelUnchanged{1000};

/// Retry-After of a request that this router refuses without an issuer.
constexpr milliseconds NoIssuerReturn{500};

/// Part of the rate that a router admits that doesn't know the fleet yet.
constexpr double StartShare = 1.0 / 320;

std::string counterLabel(const char *result)
{
    return std::string("result=\"") + result + "\"";
}

} // namespace

QuotaClient::QuotaClient(PermitIssuers &issuers, FleetReach &reach, OwnIssuer ownIssuer,
                         Metrics &metrics)
    : m_issuers(issuers)
    , m_reach(reach)
    , m_ownIssuer(std::move(ownIssuer))
    , m_asked(metrics.counter("almondmill_quota_questions_total"))
    , m_granted(metrics.counter("almondmill_quota_requests_total", counterLabel("granted")))
    , m_denied(metrics.counter("almondmill_quota_requests_total", counterLabel("denied")))
    , m_unanswered(metrics.counter("almondmill_quota_questions_unanswered_total"))
    , m_refusedLocally(
              metrics.counter("almondmill_quota_requests_total", counterLabel("refused_locally")))
    , m_ownShares(metrics.counter("almondmill_quota_requests_total", counterLabel("own_share")))
    , m_givenBack(metrics.counter("almondmill_quota_requests_total", counterLabel("given_back")))
    , m_randomState(hash64(issuers.routers().front()))
{}

void QuotaClient::admit(std::uint64_t key, const AccountQuota &quota, double amount, SteadyTime now,
                        Handler handler)
{
    Account &account = m_accounts[key];
    account.quota = quota;
    if (account.waiting.empty() && takeCredit(account, amount, now)) {
        m_granted.add();
        handler(QuotaAdmitted{});
        return;
    }
    if (const auto refused = refuseLocally(account, amount, now)) {
        m_refusedLocally.add();
        handler(*refused);
        return;
    }
    account.waiting.push_back({amount, std::move(handler)});
    askFor(key, now);
}

bool QuotaClient::takeCredit(Account &account, double amount, SteadyTime now)
{
    if (now >= account.creditUntil || account.credit < amount)
        return false;
    account.credit -= amount;
    account.usage.record(amount, now);
    return true;
}

std::optional<QuotaRefused> QuotaClient::refuseLocally(Account &account, double amount,
                                                       SteadyTime now)
{
    if (now >= account.deniedUntil)
        return std::nullopt;
    const double perSecond =
            account.quota.perSecond / static_cast<double>(m_issuers.routers().size());
    account.lastReturn =
            std::max(account.lastReturn, account.deniedUntil) + quotaTime(amount, perSecond);
    account.lastReturn = std::min(account.lastReturn, now + LongestQuotaReturn);
    return QuotaRefused{std::chrono::ceil<milliseconds>(account.lastReturn - now)};
}

void QuotaClient::giveBack(std::uint64_t key, double amount, SteadyTime now)
{
    const auto found = m_accounts.find(key);
    if (found == m_accounts.end())
        return;
    m_givenBack.add();
    Account &account = found->second;
    if (now >= account.creditUntil)
        account.credit = 0;
    account.credit += amount;
    account.creditUntil = now + CreditLifetime;
}

bool QuotaClient::knowsFleet(SteadyTime now) const
{
    return !m_send || m_issuers.knowsFleet(now);
}

bool QuotaClient::waitsForList(SteadyTime now)
{
    if (knowsFleet(now))
        return false;
    if (!m_listAwaitedAt) {
        m_listAwaitedAt = now;
        m_needPeers();
    }
    return now < *m_listAwaitedAt + ListWait;
}

void QuotaClient::askFor(std::uint64_t key, SteadyTime now)
{
    Account &account = m_accounts[key];
    if (account.isAsking || account.waiting.empty())
        return;
    if (waitsForList(now)) {
        m_held.push_back(key);
        account.isAsking = true;
        return;
    }
    account.isAsking = true;
    Batch batch;
    while (!account.waiting.empty() && batch.size() < QuotaQuestion::MaxRequests) {
        batch.push_back(std::move(account.waiting.front()));
        account.waiting.pop_front();
    }
    if (knowsFleet(now))
        askIssuer(key, std::move(batch), 0, now);
    else
        admitOwnShare(key, std::move(batch), now);
}

void QuotaClient::askIssuer(std::uint64_t key, Batch batch, int asked, SteadyTime now)
{
    const auto issuer = m_issuers.issuerToAsk(key, now);
    if (!issuer || asked == PermitIssuers::MaxAsked) {
        admitOwnShare(key, std::move(batch), now);
        return;
    }
    const std::string first = m_issuers.ownersOf(key).front();
    if (*issuer != first)
        m_reach.check(first, now);
    const QuotaQuestion question = questionFor(key, batch, now);
    if (*issuer == m_issuers.routers().front()) {
        handleAnswer(key, *issuer, std::move(batch), asked, m_ownIssuer(question, now), now);
        return;
    }
    m_asked.add();
    const auto shared = std::make_shared<Batch>(std::move(batch));
    m_polledAt = std::max(m_polledAt, now);
    m_questions.open(
            question.id, *issuer, [question] { return encodeQuota(question); },
            [this, key, issuer = *issuer, shared, asked](const std::optional<QuotaReply> &reply) {
                if (!reply)
                    m_unanswered.add();
                handleAnswer(key, issuer, std::move(*shared), asked, reply, m_polledAt);
            },
            now, m_send);
}

QuotaQuestion QuotaClient::questionFor(std::uint64_t key, const Batch &batch, SteadyTime now)
{
    const Account &account = m_accounts[key];
    QuotaQuestion question;
    question.id = m_questions.nextId();
    question.account = key;
    for (const Waiting &waiting : batch)
        question.amounts.push_back(toMessageAmount(waiting.amount));
    question.creditWanted = toMessageAmount(account.usage.perSecond(now) * CreditSeconds);
    const auto age = now - account.levelAt;
    if (account.levelAt != SteadyTime() && age < LevelLifetime) {
        const Seconds refilled = std::max<SteadyTime::duration>(age - LevelUnchanged, {});
        question.knownLevel =
                toMessageAmount(account.level + account.quota.perSecond * refilled.count());
    }
    return question;
}

void QuotaClient::handleAnswer(std::uint64_t key, const std::string &issuer, Batch batch, int asked,
                               const std::optional<QuotaReply> &reply, SteadyTime now)
{
    if (reply && reply->isIssuer) {
        applyReply(key, std::move(batch), *reply, now);
        return;
    }
    m_issuers.recordUnanswered(issuer, now);
    EventLine("quota.unanswered").add("account", key).add("issuer", issuer);
    askIssuer(key, std::move(batch), asked + 1, now);
}

void QuotaClient::applyReply(std::uint64_t key, Batch batch, const QuotaReply &reply,
                             SteadyTime now)
{
    Account &account = m_accounts[key];
    account.level = reply.level;
    account.levelAt = now;
    if (reply.credit > 0) {
        account.credit = (now < account.creditUntil ? account.credit : 0) + reply.credit;
        account.creditUntil = now + CreditLifetime;
    }
    const milliseconds returnAfter = std::max(reply.returnAfter, milliseconds(1));
    std::optional<double> denied; // The smallest amount.
    std::vector<std::pair<Handler, QuotaResult>> results;
    for (std::size_t index = 0; index < batch.size(); ++index) {
        Waiting &waiting = batch[index];
        const bool isGranted = (reply.grantedRequests >> index & 1U) != 0;
        (isGranted ? m_granted : m_denied).add();
        if (isGranted)
            account.usage.record(waiting.amount, now);
        else
            denied = std::min(denied.value_or(waiting.amount), waiting.amount);
        results.emplace_back(std::move(waiting.handler),
                             isGranted ? QuotaResult(QuotaAdmitted{})
                                       : QuotaResult(QuotaRefused{returnAfter}));
    }
    if (denied) {
        account.deniedUntil = now + returnAfter;
        EventLine("quota.denied")
                .add("account", key)
                .add("amount", *denied)
                .add("return_after", returnAfter);
    }
    finish(key, now);
    for (const auto &[handler, result] : results)
        handler(result);
}

void QuotaClient::admitOwnShare(std::uint64_t key, Batch batch, SteadyTime now)
{
    for (const std::string &owner : m_issuers.ownersOf(key)) {
        if (!owner.empty())
            m_reach.check(owner, now);
    }
    Account &account = m_accounts[key];
    const double part =
            knowsFleet(now) ? 1 / static_cast<double>(m_issuers.routers().size()) : StartShare;
    std::vector<std::pair<Handler, QuotaResult>> results;
    for (Waiting &waiting : batch) {
        m_ownShares.add();
        const bool isAdmitted =
                account.ownShare.take(waiting.amount, account.quota, part, nextRandom(), now);
        results.emplace_back(std::move(waiting.handler),
                             isAdmitted ? QuotaResult(QuotaAdmitted{})
                                        : QuotaResult(QuotaRefused{NoIssuerReturn}));
    }
    finish(key, now);
    for (const auto &[handler, result] : results)
        handler(result);
}

void QuotaClient::finish(std::uint64_t key, SteadyTime now)
{
    m_accounts[key].isAsking = false;
    askFor(key, now);
}

void QuotaClient::poll(SteadyTime now)
{
    m_polledAt = now;
    m_questions.pollAll(now, m_send);
    if (!m_held.empty() && !waitsForList(now)) {
        for (const std::uint64_t key : std::exchange(m_held, {}))
            finish(key, now);
    }
}

bool QuotaClient::handleReply(const QuotaReply &reply, SteadyTime now)
{
    m_polledAt = now;
    return m_questions.complete(reply.id, reply);
}

double QuotaClient::nextRandom()
{
    m_randomState = mixHash(m_randomState, 1);
    return static_cast<double>(m_randomState >> 11U) * 0x1.0p-53;
}

} // namespace almondmill
