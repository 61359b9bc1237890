#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/fleetreach.h"
#include "almondmill/peers/permitissuers.h"
#include "almondmill/peers/quotaclient.h"
#include "almondmill/peers/quotaissuer.h"
#include "almondmill/route/accountquota.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace almondmill::test {

/// The decisions on account quotas of many routers, on a clock and a network of their own: a
/// datagram takes a millisecond and may be lost, and nothing depends on the speed of the machine.
class QuotaFleet
{
public:
    using Milliseconds = std::chrono::milliseconds;

    struct Options
    {
        std::size_t routers = 14;
        double lostRatio = 0; ///< Of the datagrams.
        std::vector<AccountQuota> quotas;
        double demand = 0.55;      ///< Of each account, relative to its rate.
        bool knowEachOther = true; ///< Else all routers start at the same moment.
    };

    explicit QuotaFleet(const Options &options);

    /// Runs the action at that time after the start.
    void at(Milliseconds time, std::function<void()> action);
    void run(Milliseconds length);

    const std::vector<AccountQuota> &quotas() const { return m_options.quotas; }
    /// The account's quota from now on, at a router or at all routers.
    void setQuota(std::size_t router, std::size_t account, const AccountQuota &quota);
    /// Routers of different groups don't reach each other.
    void setGroup(std::size_t router, int group) { m_routers[router].group = group; }
    void kill(std::size_t router) { m_routers[router].parts.reset(); }
    /// Starts the router without what it knew.
    void start(std::size_t router);
    std::size_t issuerOf(std::size_t account) const;

    /// The most of the account that is admitted in any 8 s after `from`.
    double mostInWindow(std::size_t account, Milliseconds from = Milliseconds(0)) const;
    /// What the users allow in 8 s.
    static double allowedInWindow(const AccountQuota &quota);
    double admitted(std::size_t account, Milliseconds from, Milliseconds to) const;
    /// Requests that were refused or decided, between two times.
    std::size_t refused(Milliseconds from, Milliseconds to) const;
    /// Requests that one exact bucket for the whole fleet would have refused.
    std::size_t refusedByOneBucket() const { return m_refusedByOneBucket; }
    std::size_t decided() const { return m_waits.size(); }
    /// The wait for a decision that this part of the requests doesn't exceed.
    Milliseconds wait(double part) const;
    /// Bytes that a router sends per second, with headers of IP and UDP.
    double averageBytesPerSecond() const;
    double mostBytesPerSecond() const;

private:
    struct Parts
    {
        Parts(const std::string &name, QuotaFleet &fleet, std::size_t router);

        PermitIssuers issuers;
        FleetReach reach;
        QuotaIssuer issuer;
        QuotaClient client;
        std::vector<AccountQuota> quotas;
    };

    struct Router
    {
        std::unique_ptr<Parts> parts; ///< Null while it is down.
        int group = 0;
        std::size_t sentBytes = 0;
        std::uint64_t round = 0;
    };

    /// Of one account, for the whole fleet.
    struct ExactBucket
    {
        double level = 0;
        SteadyTime filledAt;
    };

    struct Use
    {
        SteadyTime at;
        double amount;
    };

    std::uint64_t keyOf(std::size_t account) const;
    bool isLost(std::size_t from, std::size_t to);
    void send(std::size_t from, std::size_t to, std::string bytes);
    void receive(std::size_t from, std::size_t to, const std::string &bytes);
    void tellState(std::size_t from, std::size_t to);
    void exchangeStates();
    void poll();
    void request();
    void decideExactly(std::size_t account, double amount);
    void decide(std::size_t account, double amount, SteadyTime askedAt, const QuotaResult &result);
    void list(std::size_t router);
    double amountOf(std::size_t account);

    Options m_options;

    Metrics m_metrics;
    std::mt19937_64 m_random{11};
    SteadyTime m_now;
    const SteadyTime m_start;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::vector<Router> m_routers;
    std::vector<std::vector<Use>> m_uses;    ///< By account.
    std::vector<ExactBucket> m_exactBuckets; ///< By account.
    std::size_t m_refusedByOneBucket = 0;
    std::vector<SteadyTime> m_refusals;
    std::vector<Milliseconds> m_waits;
};

} // namespace almondmill::test
