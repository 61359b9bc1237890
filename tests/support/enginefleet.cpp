#include "support/enginefleet.h"

#include "almondmill/forward/endpointchoice.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill::test {

namespace {

using Milliseconds = PerformanceFigures::Milliseconds;

constexpr std::uint32_t Slots = 12;
constexpr double PromptTokens = 2890;
constexpr double TokensPerMs = 50;
constexpr std::uint32_t Events = 100;
constexpr Milliseconds Gap{24};
constexpr Milliseconds Target{500};

/// Share of all slots that the arrivals take.
constexpr double Utilization = 0.75;

std::chrono::nanoseconds rounded(Milliseconds time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

} // namespace

EngineFleet::EngineFleet(const Shape &shape)
    : m_shape(shape)
    , m_random(shape.seed)
    , m_now(std::chrono::hours(1))
    , m_engines(shape.engines)
    , m_routers(shape.routers, {ServicePerformance(initialFigures(nullptr, Slots)),
                                std::vector<EndpointPerformance>(shape.engines),
                                std::vector<EndpointLoad>(shape.engines)})
{
    constexpr double Speeds[] = {1, 0.6, 1.6};
    for (std::size_t engine = 0; engine < shape.engines; ++engine)
        m_engines[engine].speed = Speeds[engine % std::size(Speeds)];
}

EndpointFigures EngineFleet::run(std::chrono::seconds duration)
{
    const SteadyTime end = m_now + duration;
    m_middle = m_now + duration / 2;
    at(m_now + duration / 4, [this] { m_engines.front().speed /= 4; });
    report();
    arrive();
    while (!m_events.empty() && m_events.begin()->first < end) {
        const auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }
    for (const Engine &engine : m_engines) {
        for (const Request &request : engine.waiting) {
            if (request.sentAt >= m_middle)
                m_firstEvents.push_back(end - request.sentAt);
        }
    }
    std::sort(m_firstEvents.begin(), m_firstEvents.end());
    const auto late =
            m_firstEvents.end()
            - std::upper_bound(m_firstEvents.begin(), m_firstEvents.end(), rounded(Target));
    const auto count = static_cast<double>(m_firstEvents.size());
    return {static_cast<double>(late) / count, m_firstEvents[m_firstEvents.size() * 95 / 100],
            static_cast<double>(m_toTurnedSlow) / static_cast<double>(m_counted)};
}

void EngineFleet::at(SteadyTime time, std::function<void()> event)
{
    m_events.emplace(time, std::move(event));
}

void EngineFleet::arrive()
{
    const auto router = m_random() % m_routers.size();
    const std::size_t chosen = place(m_routers[router]);
    Engine &engine = m_engines[chosen];
    m_toTurnedSlow += chosen == 0 && m_now >= m_middle ? 1 : 0;
    m_counted += m_now >= m_middle ? 1 : 0;
    const EndpointLoad one{1, PromptTokens, 0};
    engine.load += one;
    m_routers[router].own[chosen] += one;
    Request request{router, m_now,
                    engine.reported.openRequests < Slots
                            && engine.reported.pendingPrefillTokens < PromptTokens};
    if (engine.running < Slots)
        start(chosen, request);
    else
        engine.waiting.push_back(request);
    double speed = 0;
    for (const Engine &each : m_engines)
        speed += each.speed;
    const Milliseconds residence = PromptTokens / TokensPerMs * Milliseconds(1) + Events * Gap;
    std::exponential_distribution<double> pause(Utilization * Slots * speed / residence.count());
    at(m_now + rounded(Milliseconds(pause(m_random))), [this] { arrive(); });
}

void EngineFleet::report()
{
    constexpr double Weight = 0.22; // A time constant of one second.
    for (Engine &engine : m_engines) {
        EndpointLoad change = engine.load;
        change += engine.reported * -1;
        engine.reported += change * Weight;
    }
    if (m_shape.learns)
        exchangeSamples();
    at(m_now + std::chrono::milliseconds(250), [this] { report(); });
}

void EngineFleet::exchangeSamples()
{
    ServiceSamples service;
    std::vector<EndpointSamples> endpoints(m_engines.size());
    for (const Router &router : m_routers) {
        service += router.service.ownSamples(m_now);
        for (std::size_t at = 0; at < endpoints.size(); ++at)
            endpoints[at] += router.endpoints[at].deviation(m_now).value_or(EndpointSamples());
    }
    for (Router &router : m_routers) {
        router.service.setReported(service);
        for (std::size_t at = 0; at < endpoints.size(); ++at)
            router.endpoints[at].setReported(endpoints[at]);
    }
}

std::size_t EngineFleet::place(const Router &router)
{
    std::vector<EndpointCandidate> candidates(m_engines.size());
    for (std::size_t at = 0; at < candidates.size(); ++at) {
        EndpointCandidate &candidate = candidates[at];
        candidate.idHash = hash64(std::to_string(at));
        candidate.slots = Slots;
        const auto routers = static_cast<double>(m_routers.size());
        candidate.load = m_engines[at].reported * ((routers - 1) / routers);
        candidate.peerRequests = candidate.load.openRequests;
        candidate.load += router.own[at];
        if (!m_shape.learns)
            continue;
        const auto figures = router.endpoints[at].figures(router.service, m_now);
        candidate.prefillTokensPerMs = figures.prefillTokensPerMs;
        candidate.slotWait = figures.residence / Slots;
    }
    SoonestFirstEvent rule;
    rule.sharedPartHash = m_random();
    rule.ownTokens = PromptTokens;
    rule.targetLatency = std::chrono::duration_cast<std::chrono::milliseconds>(Target);
    return *chooseEndpoint(rule, candidates);
}

void EngineFleet::start(std::size_t at, Request request)
{
    Engine &engine = m_engines[at];
    ++engine.running;
    const Milliseconds prefill(PromptTokens / TokensPerMs / engine.speed);
    engine.prefillsUntil = std::max(engine.prefillsUntil, m_now) + rounded(prefill);
    const SteadyTime firstAt = engine.prefillsUntil + rounded(Gap / engine.speed);
    AnswerTiming timing;
    timing.work = {PromptTokens, 0, request.startsAtOnce};
    timing.toFirstEvent = firstAt - request.sentAt;
    timing.toEnd = rounded((Events - 1) * Gap / engine.speed);
    timing.events = Events;
    if (request.sentAt >= m_middle)
        m_firstEvents.push_back(timing.toFirstEvent);
    this->at(engine.prefillsUntil, [this, at, request] {
        const EndpointLoad ended{0, -PromptTokens, 0};
        m_engines[at].load += ended;
        m_routers[request.router].own[at] += ended;
    });
    this->at(firstAt + timing.toEnd, [this, at, request, timing] { end(at, request, timing); });
}

void EngineFleet::end(std::size_t at, const Request &request, const AnswerTiming &timing)
{
    Engine &engine = m_engines[at];
    --engine.running;
    Router &router = m_routers[request.router];
    engine.load += EndpointLoad{-1, 0, 0};
    router.own[at] += EndpointLoad{-1, 0, 0};
    const auto sample = router.service.sampleOf(timing);
    router.endpoints[at].record(router.service.ratiosOf(sample), m_now);
    router.service.record(sample, m_now);
    if (engine.waiting.empty())
        return;
    const Request next = engine.waiting.front();
    engine.waiting.pop_front();
    start(at, next);
}

} // namespace almondmill::test
