// Measures placement in a discrete-event simulation of independent routers and engine models.

#include "almondmill/config/configuration.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/fleet/placementpeers.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/candidateset.h"
#include "almondmill/placement/placer.h"
#include "bench/workload.h"

#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <unordered_set>

namespace almondmill::bench {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t RouterCount = 14;
constexpr std::uint32_t BlockTokens = 2000;
constexpr seconds WarmUp{20};
constexpr seconds EventAt{60};
constexpr seconds RunTime{140};
constexpr milliseconds ReportInterval{100};
constexpr microseconds LookupTime{1500};
constexpr std::uint64_t Seed = 20261204;

enum class ScenarioEvent {
    None,
    HotShift,
    EngineRestart,
    EndpointDrained,
    AllRoutersRestart,
    PlatformOutage
};

struct Scenario
{
    WorkloadShape shape;
    std::string eventName = "none";
    ScenarioEvent event = ScenarioEvent::None;
    milliseconds reportDelay{300};
    double rateFactor = 1.0;
};

struct PolicyResult
{
    std::vector<double> ttftMs; ///< Time to first token at high priority.
    std::vector<double> lowTtftMs;
    std::uint64_t blocks = 0;
    std::uint64_t cached = 0;
    std::uint64_t recomputedBlocks = 0; ///< Blocks recomputed that some engine had computed before.
    double lookupBytesPerSecond = 0;
    double lookupsPerRequest = 0;
    double maxOverMean = 0;

    double hit() const { return static_cast<double>(cached) / static_cast<double>(blocks); }
    double p99() const { return percentile(ttftMs, 0.99); }

    static double percentile(std::vector<double> values, double share)
    {
        if (values.empty())
            return 0;
        const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                         values.end());
        return values[at];
    }
};

std::string engineName(std::size_t index)
{
    return "e" + std::to_string(index);
}

class Members : public MemberView
{
public:
    Members(std::shared_ptr<const std::vector<Member>> all, std::string self)
        : m_all(std::move(all))
        , m_self(std::move(self))
    {}
    std::shared_ptr<const std::vector<Member>> members() const override { return m_all; }
    const std::string &self() const override { return m_self; }

private:
    std::shared_ptr<const std::vector<Member>> m_all;
    std::string m_self;
};

class Simulation;

/// Asks the owner by a direct call into the simulation, which counts the lookups.
class Peers : public PlacementPeers
{
public:
    explicit Peers(Simulation &simulation)
        : m_simulation(simulation)
    {}
    std::optional<PlacementAdvice> ask(const std::string &peer, const PlacementQuery &query,
                                       milliseconds timeout) override;

private:
    Simulation &m_simulation;
};

Settings settingsFor(std::uint32_t router)
{
    Settings settings;
    settings.name = "r" + std::to_string(router);
    settings.dataCentre = "dc" + std::to_string(router % 4);
    return settings;
}

/// One router, which runs the production placement code with its own endpoint states.
struct Router
{
    Router(std::uint32_t index, Simulation &simulation,
           const std::shared_ptr<const std::vector<Member>> &members,
           std::shared_ptr<const Configuration> configuration)
        : node(settingsFor(index))
        , view(members, (*members)[index].address)
        , peers(simulation)
        , placer(node, node.metrics)
        , next(index)
    {
        node.members = &view;
        node.placementPeers = &peers;
        node.endpoints.apply(std::move(configuration));
        endpoints = node.endpoints.snapshot();
    }

    Node node;
    Members view;
    Peers peers;
    Placer placer;
    std::shared_ptr<const EndpointSet> endpoints;
    std::uint64_t next; ///< For round robin.
};

/// Snapshot of the engines' caches and queues, which reaches the routers after the report delay.
struct Report
{
    SteadyTime taken;
    std::vector<std::uint32_t> waiting;
    std::vector<std::uint32_t> waitingHigh;
    std::vector<std::unordered_set<std::uint64_t>> index;
};

class Simulation
{
public:
    Simulation(const Scenario &scenario, const std::string &policy)
        : m_scenario(scenario)
        , m_policy(policy)
        , m_workload(scenario.shape, Seed)
        , m_engines(scenario.shape.engines)
        , m_random(Seed)
    {
        makeConfiguration();
        restartRouters();
    }

    PolicyResult run();

    PlacementAdvice askOwner(const std::string &peer, const PlacementQuery &query)
    {
        ++m_lookups;
        m_lookedUp = true;
        const auto index = static_cast<std::size_t>(std::stoul(peer.substr(9)));
        return m_routers[index]->placer.advise(query, m_now);
    }

private:
    struct ScheduledEvent
    {
        SteadyTime at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator>(const ScheduledEvent &other) const
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    void schedule(SteadyTime at, std::function<void()> action)
    {
        m_events.push({at, m_sequence++, std::move(action)});
    }

    void makeConfiguration();
    void restartRouters();
    void arrive();
    void report();
    void triggerScenarioEvent();
    void place(const Job &job);
    void send(Job job, std::size_t engine, std::set<std::string> excluded);
    void startPrefills(std::size_t engine);
    void finishPrefill(std::size_t engine, const Prefill &prefill);
    std::optional<std::size_t> choose(const Job &job, Router &router,
                                      const std::set<std::string> &excluded);
    std::optional<std::size_t> chooseBaseline(const Job &job, Router &router,
                                              const CandidateSet &candidateSet);
    PlacementRequest requestOf(const Job &job, const Router &router) const;

    Scenario m_scenario;
    std::string m_policy;
    Workload m_workload;
    std::vector<EngineModel> m_engines;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::shared_ptr<const Configuration> m_configuration;
    std::shared_ptr<const std::vector<Member>> m_members;
    std::map<std::uint64_t, std::size_t> m_engineByName;
    std::deque<Report> m_reports;
    std::unordered_set<std::uint64_t> m_computed; ///< Every block that any engine has computed.
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_events;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lookups = 0;
    bool m_lookedUp = false;
    std::uint32_t m_nextId = 0;
    SteadyTime m_now = SteadyTime(std::chrono::hours(1));
    SteadyTime m_begin = m_now;
    PolicyResult m_result;
};

std::optional<PlacementAdvice> Peers::ask(const std::string &peer, const PlacementQuery &query,
                                          milliseconds /*timeout*/)
{
    return m_simulation.askOwner(peer, query);
}

void Simulation::makeConfiguration()
{
    Inventory inventory;
    for (int i = 0; i < 4; ++i)
        inventory.dataCentres.push_back({"dc" + std::to_string(i), "region"});
    inventory.models.push_back({"model", "w1", BlockTokens, 3});
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        Endpoint endpoint;
        endpoint.name = engineName(i);
        endpoint.model = "model";
        endpoint.dataCentre = "dc" + std::to_string(i % 4);
        m_engineByName[hash64(endpoint.name)] = i;
        inventory.endpoints.push_back(endpoint);
    }
    Rules rules;
    rules.placementPolicy = m_policy == "ours" ? "owner" : "rendezvous";
    m_configuration = std::make_shared<const Configuration>(1, inventory, rules);
    std::vector<Member> members;
    for (std::uint32_t i = 0; i < RouterCount; ++i)
        members.push_back({"127.0.0.:" + std::to_string(i), "dc" + std::to_string(i % 4), 1, 1});
    m_members = std::make_shared<const std::vector<Member>>(members);
}

void Simulation::restartRouters()
{
    m_routers.clear();
    for (std::uint32_t i = 0; i < RouterCount; ++i) {
        m_routers.push_back(std::make_unique<Router>(i, *this, m_members, m_configuration));
        for (std::size_t e = 0; e < m_engines.size(); ++e)
            m_routers.back()->endpoints->all()[e]->setIncarnation(m_engines[e].incarnation());
    }
}

PlacementRequest Simulation::requestOf(const Job &job, const Router &router) const
{
    PlacementRequest request;
    request.prefixKeys = job.keys;
    request.priority = job.priority;
    request.dataCentre = router.node.settings.dataCentre;
    request.model = "model";
    request.configuration = m_configuration.get();
    return request;
}

std::optional<std::size_t> Simulation::chooseBaseline(const Job &job, Router &router,
                                                      const CandidateSet &candidateSet)
{
    const auto candidates = candidateSet.candidates();
    if (candidates.empty())
        return std::nullopt;
    if (m_policy == "round-robin")
        return router.next++ % candidates.size();
    if (m_policy == "prefix-hash")
        return job.keys.front() % candidates.size();
    std::size_t best = 0;
    microseconds bestCost = microseconds::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t engine = m_engineByName.at(candidates[i].nameHash);
        microseconds cost = candidates[i].queueDelay;
        if (m_policy == "oracle") {
            const auto missed =
                    job.keys.size() - m_engines[engine].cachedBlocks(job.keys, m_now, true);
            cost = m_engines[engine].queueDelayFor(job.priority, m_now)
                   + static_cast<std::int64_t>(missed) * EngineModel::BlockTime;
        } else if (m_policy == "full-index" && !m_reports.empty()) {
            std::int64_t missed = static_cast<std::int64_t>(job.keys.size());
            for (const std::uint64_t key : job.keys) {
                if (m_reports.front().index[engine].count(key) == 0)
                    break;
                --missed;
            }
            cost += missed * EngineModel::BlockTime;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = i;
        }
    }
    return best;
}

std::optional<std::size_t> Simulation::choose(const Job &job, Router &router,
                                              const std::set<std::string> &excluded)
{
    const PlacementRequest request = requestOf(job, router);
    const auto &states = router.endpoints->all();
    if (m_policy == "ours" || m_policy == "rendezvous") {
        const auto state = router.placer.choose(request, states, excluded, m_now);
        if (!state)
            return std::nullopt;
        return m_engineByName.at(state->nameHash());
    }
    const CandidateSet candidateSet(request, states, excluded, m_now);
    const auto index = chooseBaseline(job, router, candidateSet);
    if (!index)
        return std::nullopt;
    candidateSet.state(*index)->queue().add(candidateSet.state(*index)->queue().meanWork(),
                                            job.priority, m_now);
    return m_engineByName.at(candidateSet.state(*index)->nameHash());
}

void Simulation::send(Job job, std::size_t engine, std::set<std::string> excluded)
{
    Router &router = *m_routers[job.router];
    if (!m_engines[engine].isUp(m_now)) {
        router.endpoints->all()[engine]->failed(m_now);
        excluded.insert(engineName(engine));
        const auto next = choose(job, router, excluded);
        if (next)
            send(std::move(job), *next, std::move(excluded));
        else
            schedule(m_now + milliseconds(100), [this, job] { place(job); });
        return;
    }
    m_engines[engine].enqueue(std::move(job));
    startPrefills(engine);
}

void Simulation::place(const Job &job)
{
    m_lookedUp = false;
    const auto engine = choose(job, *m_routers[job.router], {});
    const microseconds delay = microseconds(1000) + (m_lookedUp ? LookupTime : microseconds(0));
    if (!engine) {
        schedule(m_now + milliseconds(100), [this, job] { place(job); });
        return;
    }
    schedule(m_now + delay, [this, job, engine] { send(job, *engine, {}); });
}

void Simulation::startPrefills(std::size_t engine)
{
    Prefill prefill;
    if (m_engines[engine].startNext(m_now, prefill)) {
        if (m_now > m_begin + WarmUp) {
            m_result.blocks += prefill.job.keys.size();
            m_result.cached += prefill.cachedBlocks;
            for (std::size_t i = prefill.cachedBlocks; i < prefill.job.keys.size(); ++i) {
                const std::uint64_t key = prefill.job.keys[i];
                m_result.recomputedBlocks += m_computed.count(key);
            }
        }
        const std::uint64_t incarnation = m_engines[engine].incarnation();
        schedule(prefill.firstToken, [this, engine, prefill, incarnation] {
            if (m_engines[engine].incarnation() == incarnation)
                finishPrefill(engine, prefill);
            else
                place(prefill.job);
        });
    } else if (m_engines[engine].batchFull() && !m_engines[engine].prefilling()) {
        schedule(m_engines[engine].nextDecodeEnd(), [this, engine] { startPrefills(engine); });
    }
}

void Simulation::finishPrefill(std::size_t engine, const Prefill &prefill)
{
    EngineModel &model = m_engines[engine];
    model.finishPrefill(prefill, m_now);
    m_computed.insert(prefill.job.keys.begin(), prefill.job.keys.end());
    if (prefill.job.arrived > m_begin + WarmUp) {
        const std::chrono::duration<double, std::milli> ttft =
                m_now + milliseconds(1) - prefill.job.arrived;
        (prefill.job.priority == Priority::High ? m_result.ttftMs : m_result.lowTtftMs)
                .push_back(ttft.count());
    }
    Router &router = *m_routers[prefill.job.router];
    EndpointState &state = *router.endpoints->all()[engine];
    state.setIncarnation(model.incarnation());
    state.succeeded();
    state.reportLoad(model.waiting(), model.waitingHigh(), m_now);
    const PlacementOutcome outcome{
            state.nameHash(), model.incarnation(), prefill.cachedBlocks * BlockTokens,
            static_cast<std::uint32_t>(prefill.job.keys.size()) * BlockTokens};
    if (m_policy == "ours")
        router.placer.observe(requestOf(prefill.job, router), outcome, m_now);
    startPrefills(engine);
}

void Simulation::arrive()
{
    place(m_workload.next(m_nextId++, RouterCount, m_now));
    const double rate = m_scenario.shape.requestsPerSecond * m_scenario.rateFactor;
    schedule(m_now + m_workload.gap(rate), [this] { arrive(); });
}

void Simulation::report()
{
    Report report;
    report.taken = m_now;
    for (const EngineModel &engine : m_engines) {
        report.waiting.push_back(engine.waiting());
        report.waitingHigh.push_back(engine.waitingHigh());
        report.index.emplace_back();
        if (m_policy != "full-index")
            continue;
        for (const std::uint64_t key : engine.cachedKeys()) {
            if (m_random() % 100 != 0) // 1% of the cache events are lost.
                report.index.back().insert(key);
        }
    }
    m_reports.push_back(std::move(report));
    while (m_reports.size() > 1 && m_reports[1].taken + m_scenario.reportDelay <= m_now)
        m_reports.pop_front();
    const Report &delivered = m_reports.front();
    for (const auto &router : m_routers) {
        if (delivered.taken + m_scenario.reportDelay > m_now)
            break;
        for (std::size_t e = 0; e < m_engines.size(); ++e)
            router->endpoints->all()[e]->reportLoad(delivered.waiting[e], delivered.waitingHigh[e],
                                                    delivered.taken);
    }
    schedule(m_now + ReportInterval, [this] { this->report(); });
}

void Simulation::triggerScenarioEvent()
{
    const std::size_t engine = 1;
    const auto setLeaving = [this](std::size_t index, bool leaving) {
        for (const auto &router : m_routers)
            router->endpoints->all()[index]->setLeaving(leaving);
    };
    switch (m_scenario.event) {
    case ScenarioEvent::None:
        return;
    case ScenarioEvent::HotShift:
        m_workload.shiftPopularity();
        return;
    case ScenarioEvent::EngineRestart:
        for (const Job &job : m_engines[engine].restart(m_now + seconds(5)))
            place(job);
        return;
    case ScenarioEvent::AllRoutersRestart:
        restartRouters();
        return;
    case ScenarioEvent::EndpointDrained:
        schedule(m_now + m_scenario.reportDelay, [setLeaving] { setLeaving(engine, true); });
        schedule(m_now + seconds(30), [setLeaving] { setLeaving(engine, false); });
        return;
    case ScenarioEvent::PlatformOutage:
        // Neither the VM list nor a configuration arrives during the outage. Routers learn only
        // from the endpoint's own status, 3 s later, that it is leaving.
        schedule(m_now + seconds(3), [setLeaving] { setLeaving(engine, true); });
        schedule(m_now + seconds(30), [setLeaving] { setLeaving(engine, false); });
        return;
    }
}

PolicyResult Simulation::run()
{
    schedule(m_now, [this] { arrive(); });
    schedule(m_now, [this] { report(); });
    schedule(m_now + EventAt, [this] { triggerScenarioEvent(); });
    while (m_events.top().at < m_begin + RunTime) {
        const ScheduledEvent next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    double total = 0;
    double most = 0;
    for (const EngineModel &engine : m_engines) {
        const auto busy = static_cast<double>(engine.busyTime().count());
        total += busy;
        most = std::max(most, busy);
    }
    m_result.maxOverMean = most * static_cast<double>(m_engines.size()) / total;
    double bytes = 0;
    for (const auto &router : m_routers)
        bytes += static_cast<double>(
                router->node.metrics.counter("almondmill_placement_lookup_bytes_total").value());
    m_result.lookupBytesPerSecond =
            bytes / RouterCount / static_cast<double>(seconds(RunTime).count());
    m_result.lookupsPerRequest = static_cast<double>(m_lookups) / m_nextId;
    return std::move(m_result);
}

constexpr std::array Policies{"round-robin", "least-load", "prefix-hash", "full-index",
                              "oracle",      "rendezvous", "ours"};

void print(const Scenario &scenario, const std::string &policy, const PolicyResult &measured)
{
    std::printf("placement workload=%s event=%s policy=%s hit=%.3f ttft_p50_ms=%.0f "
                "ttft_p95_ms=%.0f ttft_p99_ms=%.0f recomputed_tokens=%s "
                "max_over_mean_load=%.2f\n",
                scenario.shape.name.c_str(), scenario.eventName.c_str(), policy.c_str(),
                measured.hit(), PolicyResult::percentile(measured.ttftMs, 0.5),
                PolicyResult::percentile(measured.ttftMs, 0.95), measured.p99(),
                std::to_string(measured.recomputedBlocks * BlockTokens).c_str(),
                measured.maxOverMean);
}

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

/// Prints which targets a scenario meets.
void printTargets(const Scenario &scenario, const std::map<std::string, PolicyResult> &all)
{
    const PolicyResult &ours = all.at("ours");
    const PolicyResult &oracle = all.at("oracle");
    double bestHit = 0;
    double bestP99 = 1e12;
    std::uint64_t leastRecomputed = ~std::uint64_t{0};
    for (const char *baseline : {"round-robin", "least-load", "prefix-hash", "full-index"}) {
        const PolicyResult &measured = all.at(baseline);
        bestHit = std::max(bestHit, measured.hit());
        bestP99 = std::min(bestP99, measured.p99());
        leastRecomputed = std::min(leastRecomputed, measured.recomputedBlocks);
    }
    const double oracleP95 = PolicyResult::percentile(oracle.ttftMs, 0.95);
    const double p95 = PolicyResult::percentile(ours.ttftMs, 0.95);
    std::printf("targets workload=%s event=%s hit_vs_oracle=%.3f:%s waste_vs_naive=%.2f:%s "
                "p99_vs_naive=%.2f:%s p99_vs_oracle=%.2f:%s p95_650ms=%s low_p99_ms=%.0f "
                "lookups_per_request=%.2f lookup_bytes_per_node_s=%.0f\n",
                scenario.shape.name.c_str(), scenario.eventName.c_str(), ours.hit() / oracle.hit(),
                verdict(ours.hit() >= 0.95 * oracle.hit()),
                static_cast<double>(ours.recomputedBlocks) / static_cast<double>(leastRecomputed),
                verdict(2 * ours.recomputedBlocks <= leastRecomputed), ours.p99() / bestP99,
                verdict(2 * ours.p99() <= bestP99), ours.p99() / oracle.p99(),
                verdict(ours.p99() <= 1.25 * oracle.p99()),
                oracleP95 > 650 ? "oracle-misses" : verdict(p95 <= 650),
                PolicyResult::percentile(ours.lowTtftMs, 0.99), ours.lookupsPerRequest,
                ours.lookupBytesPerSecond);
}

std::vector<Scenario> scenarios(const WorkloadShape &shape)
{
    return {{shape, "none", ScenarioEvent::None},
            {shape, "lag-0.1", ScenarioEvent::None, milliseconds(100)},
            {shape, "lag-1", ScenarioEvent::None, milliseconds(1000)},
            {shape, "rate-0.5", ScenarioEvent::None, milliseconds(300), 0.5},
            {shape, "rate-0.8", ScenarioEvent::None, milliseconds(300), 0.8},
            {shape, "hot-shift", ScenarioEvent::HotShift},
            {shape, "engine-restart", ScenarioEvent::EngineRestart},
            {shape, "endpoint-emptied", ScenarioEvent::EndpointDrained},
            {shape, "router-herd", ScenarioEvent::AllRoutersRestart},
            {shape, "platform-out", ScenarioEvent::PlatformOutage}};
}

} // namespace

} // namespace almondmill::bench

int main(int argc, char **argv)
{
    using namespace almondmill::bench;
    const std::string only = argc > 1 ? argv[1] : "";
    for (const WorkloadShape &shape : {rietwerk(), kodaikkal()}) {
        for (const Scenario &scenario : scenarios(shape)) {
            if (!only.empty() && scenario.eventName != only)
                continue;
            std::map<std::string, PolicyResult> all;
            for (const char *policy : Policies) {
                const auto inserted = all.emplace(policy, Simulation(scenario, policy).run());
                print(scenario, policy, inserted.first->second);
            }
            printTargets(scenario, all);
            std::fflush(stdout);
        }
    }
    return 0;
}
