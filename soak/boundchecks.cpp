// Checks of time bounds, at routers that nothing disturbed.

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

/// Orders that arrive this soon after a disturbance may have been under way since before it.
constexpr milliseconds OrderUnderWay{300};

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

    std::vector<Violation> all()
    {
        for (const Attempt &attempt : m_history.attempts) {
            checkConfiguration(attempt);
            checkPatience(attempt);
            checkCut(attempt);
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

    bool isCalm(const Attempt &attempt) const
    {
        return m_history.isRouterCalm(attempt.router, attempt.sentAt, attempt.endedAt,
                                      m_bounds.settle);
    }

    /// Configurations that may be in force while the attempt is handled.
    std::vector<const SiteConfiguration *> inForce(const Attempt &attempt) const
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
        const auto allowed = inForce(attempt);
        if (allowed.empty() || !isCalm(attempt))
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
            add("configuration", attempt, "404 though every configuration in force has the route");
        if (attempt.status == Unauthorized && hasKey)
            add("configuration", attempt, "401 though every configuration in force has the key");
        for (const RequestRun *run : m_runs[attempt.id]) {
            const bool isOutdated = every([&](const SiteConfiguration &one) {
                return one.serviceFor(attempt.path) != run->service
                       || one.accountOf(attempt.key) != run->account;
            });
            if (isOutdated)
                add("configuration", attempt,
                    absl::StrCat("ran at ", run->service, " for '", run->account,
                                 "' as no configuration in force allows"));
        }
    }

    void checkPatience(const Attempt &attempt)
    {
        const SteadyTime latest = attempt.sentAt + attempt.patience + m_bounds.lateAnswer;
        const SteadyTime answered = attempt.headAt.value_or(attempt.endedAt);
        if (answered > latest && !attempt.callerLeft && isCalm(attempt))
            add("answer-in-time", attempt,
                absl::StrCat("answered after ", msBetween(attempt.sentAt, answered)));
    }

    /// A request that was passed on to sound endpoints gets an answer, also around a shutdown.
    void checkCut(const Attempt &attempt)
    {
        const Runs &runs = m_runs[attempt.id];
        const bool isCut = attempt.status == 0 || !attempt.isWhole;
        if (!isCut || attempt.callerLeft || runs.empty())
            return;
        const bool routerCalm = m_history.isRouterCalm(attempt.router, attempt.sentAt,
                                                       attempt.endedAt, m_bounds.settle, false);
        const bool endpointsCalm =
                std::all_of(runs.begin(), runs.end(), [&](const RequestRun *run) {
                    return m_history.isEndpointCalm(run->endpoint, run->beganAt, attempt.endedAt,
                                                    m_bounds.settle);
                });
        if (routerCalm && endpointsCalm)
            add("whole-answer", attempt,
                absl::StrCat("cut after ", msBetween(attempt.sentAt, attempt.endedAt), ", status ",
                             attempt.status));
    }

    void checkDrain(const Attempt &attempt, const RequestRun &run)
    {
        for (const EndpointLeaving &leaving : m_history.leavings) {
            if (leaving.endpoint != run.endpoint)
                continue;
            const SteadyTime latest = leaving.acknowledgedAt + m_bounds.drain;
            const bool isCalmAll = m_history.isRouterCalm(attempt.router, leaving.acknowledgedAt,
                                                          run.beganAt, m_bounds.settle)
                                   && m_history.isEndpointCalm(run.endpoint, leaving.acknowledgedAt,
                                                               run.beganAt, m_bounds.settle);
            if (run.beganAt > latest && isCalmAll)
                add("drain", attempt,
                    absl::StrCat("reached ", run.endpoint, " ",
                                 msBetween(leaving.acknowledgedAt, run.beganAt),
                                 " after it said that it leaves"));
        }
    }

    void checkWeights(const Attempt &attempt, const RequestRun &run)
    {
        for (const WeightsNamed &named : m_history.weights) {
            if (run.weightsVersion == 0 || run.weightsVersion >= named.version)
                continue;
            const bool isLate = run.beganAt > named.acknowledgedAt + m_bounds.weights;
            if (isLate && m_history.isAllCalm(named.acknowledgedAt, run.beganAt, m_bounds.settle))
                add("weights", attempt,
                    absl::StrCat("began on version ", run.weightsVersion, " ",
                                 msBetween(named.acknowledgedAt, run.beganAt), " after version ",
                                 named.version, " was named"));
        }
    }

    /// Two holders never give orders within a lease's turn, and at one engine fencing numbers never
    /// fall.
    void checkOrders()
    {
        std::map<std::string, std::uint64_t> fencings;
        const OrderTaken *before = nullptr;
        for (const OrderTaken &order : m_history.orders) {
            const bool isLate = arrivedLate(order);
            if (before && !isLate)
                checkTurn(*before, order);
            std::uint64_t &highest = fencings[order.endpoint];
            if (order.fencing < highest && !isLate)
                m_violations.push_back(
                        {"fencing", absl::StrCat(order.endpoint, " took fencing number ",
                                                 order.fencing, " after ", highest)});
            highest = std::max(highest, order.fencing);
            before = &order;
        }
    }

    void checkTurn(const OrderTaken &before, const OrderTaken &order)
    {
        if (before.holder == order.holder || order.at - before.at >= m_bounds.leaseHandoverInterval)
            return;
        m_violations.push_back({"one-holder", absl::StrCat(order.holder, " gave an order ",
                                                           msBetween(before.at, order.at),
                                                           " after ", before.holder)});
    }

    /// Whether the order may have waited on its way: its holder was just let go on, or its way to
    /// the engine is or was just disturbed.
    bool arrivedLate(const OrderTaken &order) const
    {
        return std::any_of(m_history.disturbances.begin(), m_history.disturbances.end(),
                           [&](const Disturbance &disturbance) {
                               const bool justEnded =
                                       disturbance.until <= order.at
                                       && order.at - disturbance.until < OrderUnderWay;
                               const bool isActive =
                                       disturbance.from <= order.at && disturbance.until > order.at;
                               if (disturbance.name == placeOf(order.endpoint))
                                   return isActive || justEnded;
                               return justEnded
                                      && (disturbance.name == order.holder
                                          || disturbance.what == Disturbance::What::Everything);
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
    return BoundChecks(history, bounds).all();
}

} // namespace almondmill::soak
