// Checks of time bounds. They apply only to routers, endpoints and periods without a disturbance.

#include "checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace almondmill::soak {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Runs = std::vector<const RequestRun *>;

constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;

/// An order received less than this after the end of a disturbance may have been sent before it.
constexpr milliseconds MaxOrderDelay{300};

std::string msBetween(SteadyTime from, SteadyTime until)
{
    return absl::StrCat(duration_cast<milliseconds>(until - from).count(), " ms");
}

class BoundChecks
{
public:
    BoundChecks(const SoakHistory &history, const SoakBounds &bounds)
        : m_history(history)
        , m_bounds(bounds)
        , m_runs(history.runsByRequest())
    {}

    std::vector<Violation> checkAll()
    {
        for (const Attempt &attempt : m_history.attempts) {
            checkConfiguration(attempt);
            checkAnswerTime(attempt);
            checkTruncation(attempt);
            for (const RequestRun *run : m_runs[attempt.id]) {
                checkDrain(attempt, *run);
                checkWeights(attempt, *run);
            }
        }
        checkOrders();
        return m_violations;
    }

private:
    void add(const std::string &check, const Attempt &attempt, const std::string &text)
    {
        m_violations.push_back(
                {check, absl::StrCat("request ", attempt.id, " ", attempt.path, " at ",
                                     routerName(attempt.router), ": ", text)});
    }

    bool isUndisturbed(const Attempt &attempt) const
    {
        return m_history.isRouterUndisturbed(attempt.router, attempt.sentAt, attempt.endedAt,
                                             m_bounds.settleTime);
    }

    /// Configurations that may be in force while the attempt is handled: the latest one
    /// acknowledged longer ago than the propagation bound, and all later ones.
    std::vector<const SiteConfiguration *> configurationsInForce(const Attempt &attempt) const
    {
        std::vector<const SiteConfiguration *> allowed;
        for (const ConfigurationChange &change : m_history.configurations) {
            if (change.acknowledgedAt > attempt.endedAt)
                break;
            if (change.acknowledgedAt + m_bounds.configuration < attempt.sentAt)
                allowed.clear();
            allowed.push_back(&change.configuration);
        }
        return allowed;
    }

    void checkConfiguration(const Attempt &attempt)
    {
        const auto allowed = configurationsInForce(attempt);
        if (allowed.empty() || !isUndisturbed(attempt))
            return;
        const auto every = [&](auto &&holds) {
            return std::all_of(allowed.begin(), allowed.end(),
                               [&](const SiteConfiguration *one) { return holds(*one); });
        };
        const bool hasRoute = every([&](const SiteConfiguration &one) {
            return one.serviceFor(attempt.path).has_value();
        });
        const bool hasKey = every([&](const SiteConfiguration &one) {
            return one.accountOf(attempt.key).has_value();
        });
        if (attempt.status == NotFound && hasRoute)
            add("configuration", attempt,
                "got status 404, but every configuration in force has the route");
        if (attempt.status == Unauthorized && hasKey)
            add("configuration", attempt,
                "got status 401, but every configuration in force has the key");
        for (const RequestRun *run : m_runs[attempt.id]) {
            const bool isOutdated = every([&](const SiteConfiguration &one) {
                return one.serviceFor(attempt.path) != run->service
                       || one.accountOf(attempt.key) != run->account;
            });
            if (isOutdated)
                add("configuration", attempt,
                    absl::StrCat("executed by service '", run->service, "' for account '",
                                 run->account, "', which no configuration in force allows"));
        }
    }

    void checkAnswerTime(const Attempt &attempt)
    {
        const SteadyTime latest = attempt.sentAt + attempt.timeout + m_bounds.lateAnswerTolerance;
        const SteadyTime answered = attempt.headAt.value_or(attempt.endedAt);
        if (answered > latest && !attempt.callerDisconnected && isUndisturbed(attempt))
            add("answer-in-time", attempt,
                absl::StrCat("answered after ", msBetween(attempt.sentAt, answered),
                             ", expected within ", msBetween(attempt.sentAt, latest)));
    }

    /// A request that was forwarded to undisturbed endpoints gets a complete answer, even when its
    /// router shuts down as planned.
    void checkTruncation(const Attempt &attempt)
    {
        const Runs &runs = m_runs[attempt.id];
        const bool isTruncated = attempt.status == 0 || !attempt.isComplete;
        if (!isTruncated || attempt.callerDisconnected || runs.empty())
            return;
        const bool routerUndisturbed = m_history.isRouterUndisturbed(
                attempt.router, attempt.sentAt, attempt.endedAt, m_bounds.settleTime, false);
        const bool endpointsUndisturbed =
                std::all_of(runs.begin(), runs.end(), [&](const RequestRun *run) {
                    return m_history.isEndpointUndisturbed(run->endpoint, run->beganAt,
                                                           attempt.endedAt, m_bounds.settleTime);
                });
        if (routerUndisturbed && endpointsUndisturbed)
            add("whole-answer", attempt,
                absl::StrCat("answer truncated after ", msBetween(attempt.sentAt, attempt.endedAt),
                             ", status ", attempt.status));
    }

    void checkDrain(const Attempt &attempt, const RequestRun &run)
    {
        for (const EndpointDraining &draining : m_history.drainings) {
            if (draining.endpoint != run.endpoint)
                continue;
            const SteadyTime latest = draining.acknowledgedAt + m_bounds.drain;
            const bool bothUndisturbed =
                    m_history.isRouterUndisturbed(attempt.router, draining.acknowledgedAt,
                                                  run.beganAt, m_bounds.settleTime)
                    && m_history.isEndpointUndisturbed(run.endpoint, draining.acknowledgedAt,
                                                       run.beganAt, m_bounds.settleTime);
            if (run.beganAt > latest && bothUndisturbed)
                add("drain", attempt,
                    absl::StrCat("forwarded to endpoint ", run.endpoint, " ",
                                 msBetween(draining.acknowledgedAt, run.beganAt),
                                 " after it was reported as draining"));
        }
    }

    void checkWeights(const Attempt &attempt, const RequestRun &run)
    {
        for (const WeightsPublished &published : m_history.weights) {
            if (run.weightsVersion == 0 || run.weightsVersion >= published.version)
                continue;
            const bool isLate = run.beganAt > published.acknowledgedAt + m_bounds.weights;
            if (isLate
                && m_history.isSiteUndisturbed(published.acknowledgedAt, run.beganAt,
                                               m_bounds.settleTime))
                add("weights", attempt,
                    absl::StrCat("started on weights version ", run.weightsVersion, " ",
                                 msBetween(published.acknowledgedAt, run.beganAt),
                                 " after version ", published.version, " was published"));
        }
    }

    /// Two lease holders never give orders within the minimum handover interval, and the fencing
    /// tokens at an engine never decrease.
    void checkOrders()
    {
        std::map<std::string, std::uint64_t> highestTokens;
        const OrderTaken *before = nullptr;
        for (const OrderTaken &order : m_history.orders) {
            const bool isLate = mayBeDelayed(order);
            if (before && !isLate)
                checkHandover(*before, order);
            std::uint64_t &highest = highestTokens[order.endpoint];
            if (order.fencing < highest && !isLate)
                m_violations.push_back(
                        {"fencing", absl::StrCat(order.endpoint, " accepted fencing token ",
                                                 order.fencing, " after ", highest)});
            highest = std::max(highest, order.fencing);
            before = &order;
        }
    }

    void checkHandover(const OrderTaken &before, const OrderTaken &order)
    {
        if (before.holder == order.holder || order.at - before.at >= m_bounds.leaseHandoverInterval)
            return;
        m_violations.push_back({"one-holder", absl::StrCat(order.holder, " sent an order ",
                                                           msBetween(before.at, order.at),
                                                           " after lease holder ", before.holder)});
    }

    /// Whether the order's delivery may have been delayed: its sender or the whole site was
    /// disturbed until less than MaxOrderDelay before (such as a paused router that resumed), or
    /// the replica of its engine was disturbed at that time or until less than MaxOrderDelay
    /// before.
    bool mayBeDelayed(const OrderTaken &order) const
    {
        return std::any_of(m_history.disturbances.begin(), m_history.disturbances.end(),
                           [&](const Disturbance &disturbance) {
                               const bool justEnded =
                                       disturbance.until <= order.at
                                       && order.at - disturbance.until < MaxOrderDelay;
                               const bool isActive =
                                       disturbance.from <= order.at && disturbance.until > order.at;
                               if (disturbance.name == replicaOf(order.endpoint))
                                   return isActive || justEnded;
                               return justEnded
                                      && (disturbance.name == order.holder
                                          || disturbance.scope == Disturbance::Scope::Store
                                          || disturbance.scope == Disturbance::Scope::Site);
                           });
    }

    const SoakHistory &m_history;
    const SoakBounds &m_bounds;
    std::map<std::string, Runs> m_runs;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> checkBounds(const SoakHistory &history, const SoakBounds &bounds)
{
    return BoundChecks(history, bounds).checkAll();
}

} // namespace almondmill::soak
