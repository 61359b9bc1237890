#include "almondmill/peers/accountquotas.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/quotamessages.h"
#include "almondmill/route/routingtable.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Interval at which open questions and probes are looked after.
constexpr std::chrono::milliseconds PollInterval{10};

} // namespace

AccountQuotas::AccountQuotas(asio::io_context &loop, PermitIssuers &issuers,
                             const RcuCell<RoutingTable> &table, Metrics &metrics)
    : m_loop(loop)
    , m_table(table)
    , m_reach(issuers)
    , m_issuer(issuers, m_reach)
    , m_client(
              issuers, m_reach,
              [this](const QuotaQuestion &question, SteadyTime now) {
                  return m_issuer.answer(question, quotaOf(question.account), now);
              },
              metrics)
{
    metrics.setGauge("almondmill_accounts_with_quota",
                     [this] { return static_cast<double>(accountsWithQuota()); });
}

void AccountQuotas::start(const Sender &send, std::function<void()> needPeers)
{
    m_reach.start(send);
    m_client.start(send, std::move(needPeers));
}

asio::awaitable<QuotaResult> AccountQuotas::admit(const KeyedAccount &account, double amount)
{
    std::optional<QuotaResult> result;
    asio::steady_timer decided(m_loop, SteadyTime::max());
    m_client.admit(hash64(account.name), *account.quota, amount, steadyNow(),
                   [&](QuotaResult known) {
                       result = known;
                       decided.cancel();
                   });
    pollWhileActive();
    while (!result) {
        boost::system::error_code ignored; // The result ends the wait by cancelling the timer.
        co_await decided.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return *result;
}

void AccountQuotas::giveBack(const KeyedAccount &account, double amount)
{
    m_client.giveBack(hash64(account.name), amount, steadyNow());
}

bool AccountQuotas::handleDatagram(std::string_view bytes, const Reply &reply)
{
    const SteadyTime now = steadyNow();
    if (const auto question = decodeQuotaQuestion(bytes)) {
        reply(encodeQuota(m_issuer.answer(*question, quotaOf(question->account), now)));
    } else if (const auto answer = decodeQuotaReply(bytes)) {
        m_client.handleReply(*answer, now);
    } else if (const auto probe = decodeReachProbe(bytes)) {
        reply(encodeQuota(ReachReply{probe->id}));
    } else if (const auto reached = decodeReachReply(bytes)) {
        m_reach.handleReply(*reached);
    } else {
        return false;
    }
    pollWhileActive();
    return true;
}

const AccountQuota *AccountQuotas::quotaOf(std::uint64_t account)
{
    accountsWithQuota();
    const auto found = m_quotas.find(account);
    return found == m_quotas.end() ? nullptr : &found->second;
}

std::size_t AccountQuotas::accountsWithQuota()
{
    auto table = m_table.snapshot();
    if (table != m_indexed) {
        m_quotas.clear();
        m_indexed = std::move(table);
        for (const KeyedAccount &account : m_indexed->configuration().accounts) {
            if (account.quota)
                m_quotas[hash64(account.name)] = *account.quota;
        }
    }
    return m_quotas.size();
}

void AccountQuotas::pollWhileActive()
{
    if (m_isPolling || !(m_client.isActive() || m_reach.isActive(steadyNow())))
        return;
    m_isPolling = true;
    asio::co_spawn(m_loop, poll(), [this](const std::exception_ptr &error) {
        m_isPolling = false;
        if (error)
            std::rethrow_exception(error);
    });
}

asio::awaitable<void> AccountQuotas::poll()
{
    for (;;) {
        co_await sleepFor(m_loop, PollInterval);
        const SteadyTime now = steadyNow();
        m_client.poll(now);
        m_reach.poll(now);
        const bool isActive = m_client.isActive() || m_reach.isActive(now);
        if (!isActive)
            break;
    }
}

} // namespace almondmill
