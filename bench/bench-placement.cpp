// Measures placement: many independent routers before small engine models, on a clock of its own.

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

enum class Event { None, HotShift, EngineRestart, EndpointEmptied, RouterHerd, PlatformOut };

struct Scenario
{
    WorkloadShape shape;
    std::string eventName = "none";
    Event event = Event::None;
    milliseconds lag{300};
    double rateFactor = 1.0;
};

struct Measured
{
    std::vector<double> ttftMs; ///< Of high priority.
    std::vector<double> lowTtftMs;
    std::uint64_t blocks = 0;
    std::uint64_t cached = 0;
    std::uint64_t wasted = 0; ///< Blocks recomputed that some engine had computed before.
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

class Site;

/// Asks the owner by a plain call; counts what was asked.
class Peers : public PlacementPeers
{
public:
    explicit Peers(Site &site)
        : m_site(site)
    {}
    std::optional<PlacementAdvice> ask(const std::string &peer, const PlacementQuery &query,
                                       milliseconds timeout) override;

private:
    Site &m_site;
};

Settings settingsFor(std::uint32_t router)
{
    Settings settings;
    settings.name = "r" + std::to_string(router);
    settings.dataCentre = "dc" + std::to_string(router % 4);
    return settings;
}

/// One router: the project's own decision code over states of its own.
struct Router
{
    Router(std::uint32_t index, Site &site,
           const std::shared_ptr<const std::vector<Member>> &members,
           std::shared_ptr<const Configuration> configuration)
        : node(settingsFor(index))
        , view(members, (*members)[index].address)
        , peers(site)
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

/// Caches and queues at one moment, as every router is told of them later.
struct Report
{
    SteadyTime taken;
    std::vector<std::uint32_t> waiting;
    std::vector<std::uint32_t> waitingHigh;
    std::vector<std::unordered_set<std::uint64_t>> index;
};

class Site
{
public:
    Site(const Scenario &scenario, const std::string &policy)
        : m_scenario(scenario)
        , m_policy(policy)
        , m_workload(scenario.shape, Seed)
        , m_engines(scenario.shape.engines)
        , m_random(Seed)
    {
        makeConfiguration();
        restartRouters();
    }

    Measured run();

    PlacementAdvice askOwner(const std::string &peer, const PlacementQuery &query)
    {
        ++m_lookups;
        m_lookedUp = true;
        const auto index = static_cast<std::size_t>(std::stoul(peer.substr(9)));
        return m_routers[index]->placer.advise(query, m_now);
    }

private:
    struct Happening
    {
        SteadyTime at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const Happening &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(SteadyTime at, std::function<void()> act)
    {
        m_happenings.push({at, m_order++, std::move(act)});
    }

    void makeConfiguration();
    void restartRouters();
    void arrive();
    void report();
    void happen();
    void place(const Job &job);
    void send(Job job, std::size_t engine, std::set<std::string> excluded);
    void startPrefills(std::size_t engine);
    void finishPrefill(std::size_t engine, const Prefill &prefill);
    std::optional<std::size_t> choose(const Job &job, Router &router,
                                      const std::set<std::string> &excluded);
    std::optional<std::size_t> chooseNaive(const Job &job, Router &router,
                                           const CandidateSet &offer);
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
    std::unordered_set<std::uint64_t> m_computed; ///< Every block that an engine computed.
    std::priority_queue<Happening, std::vector<Happening>, std::greater<>> m_happenings;
    std::uint64_t m_order = 0;
    std::uint64_t m_lookups = 0;
    bool m_lookedUp = false;
    std::uint32_t m_nextId = 0;
    SteadyTime m_now = SteadyTime(std::chrono::hours(1));
    SteadyTime m_begin = m_now;
    Measured m_measured;
};

std::optional<PlacementAdvice> Peers::ask(const std::string &peer, const PlacementQuery &query,
                                          milliseconds /*timeout*/)
{
    return m_site.askOwner(peer, query);
}

void Site::makeConfiguration()
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

void Site::restartRouters()
{
    m_routers.clear();
    for (std::uint32_t i = 0; i < RouterCount; ++i) {
        m_routers.push_back(std::make_unique<Router>(i, *this, m_members, m_configuration));
        for (std::size_t e = 0; e < m_engines.size(); ++e)
            m_routers.back()->endpoints->all()[e]->setIncarnation(m_engines[e].incarnation());
    }
}

PlacementRequest Site::requestOf(const Job &job, const Router &router) const
{
    PlacementRequest request;
    request.prefixKeys = job.keys;
    request.priority = job.priority;
    request.dataCentre = router.node.settings.dataCentre;
    request.model = "model";
    request.configuration = m_configuration.get();
    return request;
}

std::optional<std::size_t> Site::chooseNaive(const Job &job, Router &router,
                                             const CandidateSet &offer)
{
    const auto candidates = offer.candidates();
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
            cost = m_engines[engine].queueFor(job.priority, m_now)
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

std::optional<std::size_t> Site::choose(const Job &job, Router &router,
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
    const CandidateSet offer(request, states, excluded, m_now);
    const auto index = chooseNaive(job, router, offer);
    if (!index)
        return std::nullopt;
    offer.state(*index)->queue().add(offer.state(*index)->queue().meanWork(), job.priority, m_now);
    return m_engineByName.at(offer.state(*index)->nameHash());
}

void Site::send(Job job, std::size_t engine, std::set<std::string> excluded)
{
    Router &router = *m_routers[job.router];
    if (!m_engines[engine].up(m_now)) {
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

void Site::place(const Job &job)
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

void Site::startPrefills(std::size_t engine)
{
    Prefill prefill;
    if (m_engines[engine].startNext(m_now, prefill)) {
        if (m_now > m_begin + WarmUp) {
            m_measured.blocks += prefill.job.keys.size();
            m_measured.cached += prefill.cachedBlocks;
            for (std::size_t i = prefill.cachedBlocks; i < prefill.job.keys.size(); ++i) {
                const std::uint64_t key = prefill.job.keys[i];
                m_measured.wasted += m_computed.count(key);
            }
        }
        const std::uint64_t life = m_engines[engine].incarnation();
        schedule(prefill.firstToken, [this, engine, prefill, life] {
            if (m_engines[engine].incarnation() == life)
                finishPrefill(engine, prefill);
            else
                place(prefill.job);
        });
    } else if (m_engines[engine].batchFull() && !m_engines[engine].prefilling()) {
        schedule(m_engines[engine].nextDecodeEnd(), [this, engine] { startPrefills(engine); });
    }
}

void Site::finishPrefill(std::size_t engine, const Prefill &prefill)
{
    EngineModel &model = m_engines[engine];
    model.prefillDone(prefill, m_now);
    m_computed.insert(prefill.job.keys.begin(), prefill.job.keys.end());
    if (prefill.job.arrived > m_begin + WarmUp) {
        const std::chrono::duration<double, std::milli> ttft =
                m_now + milliseconds(1) - prefill.job.arrived;
        (prefill.job.priority == Priority::High ? m_measured.ttftMs : m_measured.lowTtftMs)
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

void Site::arrive()
{
    place(m_workload.next(m_nextId++, RouterCount, m_now));
    const double rate = m_scenario.shape.requestsPerSecond * m_scenario.rateFactor;
    schedule(m_now + m_workload.gap(rate), [this] { arrive(); });
}

void Site::report()
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
            if (m_random() % 100 != 0) // one event in a hundred is lost
                report.index.back().insert(key);
        }
    }
    m_reports.push_back(std::move(report));
    while (m_reports.size() > 1 && m_reports[1].taken + m_scenario.lag <= m_now)
        m_reports.pop_front();
    const Report &told = m_reports.front();
    for (const auto &router : m_routers) {
        if (told.taken + m_scenario.lag > m_now)
            break;
        for (std::size_t e = 0; e < m_engines.size(); ++e)
            router->endpoints->all()[e]->reportLoad(told.waiting[e], told.waitingHigh[e],
                                                    told.taken);
    }
    schedule(m_now + ReportInterval, [this] { this->report(); });
}

void Site::happen()
{
    const std::size_t engine = 1;
    const auto setLeaving = [this](std::size_t index, bool leaving) {
        for (const auto &router : m_routers)
            router->endpoints->all()[index]->setLeaving(leaving);
    };
    switch (m_scenario.event) {
    case Event::None:
        return;
    case Event::HotShift:
        m_workload.shift();
        return;
    case Event::EngineRestart:
        for (const Job &job : m_engines[engine].restart(m_now + seconds(5)))
            place(job);
        return;
    case Event::RouterHerd:
        restartRouters();
        return;
    case Event::EndpointEmptied:
        schedule(m_now + m_scenario.lag, [setLeaving] { setLeaving(engine, true); });
        schedule(m_now + seconds(30), [setLeaving] { setLeaving(engine, false); });
        return;
    case Event::PlatformOut:
        // No list or configuration arrives: an endpoint's own word, heard late, says it leaves.
        schedule(m_now + seconds(3), [setLeaving] { setLeaving(engine, true); });
        schedule(m_now + seconds(30), [setLeaving] { setLeaving(engine, false); });
        return;
    }
}

Measured Site::run()
{
    schedule(m_now, [this] { arrive(); });
    schedule(m_now, [this] { report(); });
    schedule(m_now + EventAt, [this] { happen(); });
    while (m_happenings.top().at < m_begin + RunTime) {
        const Happening next = m_happenings.top();
        m_happenings.pop();
        m_now = next.at;
        next.act();
    }
    double total = 0;
    double most = 0;
    for (const EngineModel &engine : m_engines) {
        const auto busy = static_cast<double>(engine.busyTime().count());
        total += busy;
        most = std::max(most, busy);
    }
    m_measured.maxOverMean = most * static_cast<double>(m_engines.size()) / total;
    double bytes = 0;
    for (const auto &router : m_routers)
        bytes += static_cast<double>(
                router->node.metrics.counter("almondmill_placement_lookup_bytes_total").value());
    m_measured.lookupBytesPerSecond =
            bytes / RouterCount / static_cast<double>(seconds(RunTime).count());
    m_measured.lookupsPerRequest = static_cast<double>(m_lookups) / m_nextId;
    return std::move(m_measured);
}

constexpr std::array Policies{"round-robin", "least-load", "prefix-hash", "full-index",
                              "oracle",      "rendezvous", "ours"};

void print(const Scenario &scenario, const std::string &policy, const Measured &measured)
{
    std::printf("placement workload=%s event=%s policy=%s hit=%.3f ttft_p50_ms=%.0f "
                "ttft_p95_ms=%.0f ttft_p99_ms=%.0f recomputed_tokens=%s "
                "max_over_mean_load=%.2f\n",
                scenario.shape.name.c_str(), scenario.eventName.c_str(), policy.c_str(),
                measured.hit(), Measured::percentile(measured.ttftMs, 0.5),
                Measured::percentile(measured.ttftMs, 0.95), measured.p99(),
                std::to_string(measured.wasted * BlockTokens).c_str(), measured.maxOverMean);
}

const char *verdict(bool met)
{
    return met ? "met" : "missed";
}

/// Says of one scenario which targets are met.
void printTargets(const Scenario &scenario, const std::map<std::string, Measured> &all)
{
    const Measured &ours = all.at("ours");
    const Measured &oracle = all.at("oracle");
    double bestHit = 0;
    double bestP99 = 1e12;
    std::uint64_t leastWaste = ~std::uint64_t{0};
    for (const char *naive : {"round-robin", "least-load", "prefix-hash", "full-index"}) {
        const Measured &measured = all.at(naive);
        bestHit = std::max(bestHit, measured.hit());
        bestP99 = std::min(bestP99, measured.p99());
        leastWaste = std::min(leastWaste, measured.wasted);
    }
    const double oracleP95 = Measured::percentile(oracle.ttftMs, 0.95);
    const double p95 = Measured::percentile(ours.ttftMs, 0.95);
    std::printf("targets workload=%s event=%s hit_vs_oracle=%.3f:%s waste_vs_naive=%.2f:%s "
                "p99_vs_naive=%.2f:%s p99_vs_oracle=%.2f:%s p95_650ms=%s low_p99_ms=%.0f "
                "lookups_per_request=%.2f lookup_bytes_per_node_s=%.0f\n",
                scenario.shape.name.c_str(), scenario.eventName.c_str(), ours.hit() / oracle.hit(),
                verdict(ours.hit() >= 0.95 * oracle.hit()),
                static_cast<double>(ours.wasted) / static_cast<double>(leastWaste),
                verdict(2 * ours.wasted <= leastWaste), ours.p99() / bestP99,
                verdict(2 * ours.p99() <= bestP99), ours.p99() / oracle.p99(),
                verdict(ours.p99() <= 1.25 * oracle.p99()),
                oracleP95 > 650 ? "oracle-misses" : verdict(p95 <= 650),
                Measured::percentile(ours.lowTtftMs, 0.99), ours.lookupsPerRequest,
                ours.lookupBytesPerSecond);
}

std::vector<Scenario> scenarios(const WorkloadShape &shape)
{
    return {{shape, "none", Event::None},
            {shape, "lag-0.1", Event::None, milliseconds(100)},
            {shape, "lag-1", Event::None, milliseconds(1000)},
            {shape, "rate-0.5", Event::None, milliseconds(300), 0.5},
            {shape, "rate-0.8", Event::None, milliseconds(300), 0.8},
            {shape, "hot-shift", Event::HotShift},
            {shape, "engine-restart", Event::EngineRestart},
            {shape, "endpoint-emptied", Event::EndpointEmptied},
            {shape, "router-herd", Event::RouterHerd},
            {shape, "platform-out", Event::PlatformOut}};
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
            std::map<std::string, Measured> all;
            for (const char *policy : Policies) {
                const auto inserted = all.emplace(policy, Site(scenario, policy).run());
                print(scenario, policy, inserted.first->second);
            }
            printTargets(scenario, all);
            std::fflush(stdout);
        }
    }
    return 0;
}
