#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/openquestions.h"
#include "almondmill/peers/ownshare.h"
#include "almondmill/peers/quotamessages.h"
#include "almondmill/peers/quotaresult.h"
#include "almondmill/peers/usagemeter.h"
#include "almondmill/route/accountquota.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

class Counter;
class FleetReach;
class Metrics;
class PermitIssuers;

/// Asks the issuers of account quotas on behalf of this router's requests. Keeps state only for
/// accounts with a quota that this router was asked for. Must be used on the event loop only.
class QuotaClient
{
public:
    using Send = OpenQuestions<QuotaReply>::Send;
    using Handler = std::function<void(QuotaResult)>;
    /// This router's answer as an issuer.
    using OwnIssuer = std::function<QuotaReply(const QuotaQuestion &, SteadyTime)>;

    /// A router that has just started waits so long for the list of its peers before it admits a
    /// small share on its own.
    static constexpr std::chrono::milliseconds ListWait{500};

    QuotaClient(PermitIssuers &issuers, FleetReach &reach, OwnIssuer ownIssuer, Metrics &metrics);

    /// Begins to ask other routers. Before that, this router is the only one.
    /// `needPeers` is called once if requests wait for the list of peers.
    void start(Send send, std::function<void()> needPeers)
    {
        m_send = std::move(send);
        m_needPeers = std::move(needPeers);
    }

    /// Decides on a request of the account and calls `handler` with the result: before this
    /// function returns if it is known at once, else when the issuer has answered.
    void admit(std::uint64_t key, const AccountQuota &quota, double amount, SteadyTime now,
               Handler handler);

    /// Puts the amount of an admitted request back that was not run.
    void giveBack(std::uint64_t key, double amount, SteadyTime now);

    /// Whether there is anything to poll for.
    bool isActive() const { return !m_questions.empty() || !m_held.empty(); }

    void poll(SteadyTime now);

    /// Returns false when no question waits for the reply.
    bool handleReply(const QuotaReply &reply, SteadyTime now);

    std::size_t accountCount() const { return m_accounts.size(); }

private:
    struct Waiting
    {
        double amount = 0;
        Handler handler;
    };

    struct Account
    {
        AccountQuota quota;
        double credit = 0; ///< Granted or given back, for requests of this router.
        SteadyTime creditUntil;
        SteadyTime deniedUntil; ///< Requests are refused here until then.
        SteadyTime lastReturn;  ///< Of the requests refused here.
        double level = 0;       ///< Of the issuer's bucket.
        SteadyTime levelAt;
        UsageMeter usage;
        OwnShare ownShare;
        std::deque<Waiting> waiting;
        bool isAsking = false;
    };

    /// Requests that one question is about.
    using Batch = std::vector<Waiting>;

    bool takeCredit(Account &account, double amount, SteadyTime now);
    std::optional<QuotaRefused> refuseLocally(Account &account, double amount, SteadyTime now);
    /// Asks for the waiting requests unless a question is open.
    void askFor(std::uint64_t key, SteadyTime now);
    void askIssuer(std::uint64_t key, Batch batch, int asked, SteadyTime now);
    QuotaQuestion questionFor(std::uint64_t key, const Batch &batch, SteadyTime now);
    void handleAnswer(std::uint64_t key, const std::string &issuer, Batch batch, int asked,
                      const std::optional<QuotaReply> &reply, SteadyTime now);
    void applyReply(std::uint64_t key, Batch batch, const QuotaReply &reply, SteadyTime now);
    void admitOwnShare(std::uint64_t key, Batch batch, SteadyTime now);
    /// Ends the question and begins the next one.
    void finish(std::uint64_t key, SteadyTime now);
    bool knowsFleet(SteadyTime now) const;
    /// Whether requests wait for the list of peers.
    bool waitsForList(SteadyTime now);
    double nextRandom();

    PermitIssuers &m_issuers;
    FleetReach &m_reach;
    const OwnIssuer m_ownIssuer;
    Counter &m_asked;
    Counter &m_granted;
    Counter &m_denied;
    Counter &m_unanswered;
    Counter &m_refusedLocally;
    Counter &m_ownShares;
    Counter &m_givenBack;
    Send m_send;
    std::function<void()> m_needPeers;
    std::optional<SteadyTime> m_listAwaitedAt; ///< When the list of peers was first needed.
    OpenQuestions<QuotaReply> m_questions;
    SteadyTime m_polledAt; ///< The time at which questions end.
    std::uint64_t m_randomState;
    std::vector<std::uint64_t> m_held; ///< Accounts whose requests wait for the list of peers.
    absl::flat_hash_map<std::uint64_t, Account> m_accounts;
};

} // namespace almondmill
