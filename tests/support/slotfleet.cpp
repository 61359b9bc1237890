#include "support/slotfleet.h"

#include "almondmill/admission/admissioncontrol.h"

#include <algorithm>
#include <cmath>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Step{10};
constexpr int StepsPerReport = 25;
constexpr std::size_t ReportsOfDelay = 8;
constexpr std::size_t MostRoutersHeard = 14;

double inMs(milliseconds time)
{
    return static_cast<double>(time.count());
}

} // namespace

SlotFleet::SlotFleet(std::size_t routers, double slots, bool admits, std::uint64_t seed)
    : m_routers(routers)
    , m_slots(slots)
    , m_admits(admits)
    , m_random(seed)
    , m_waiting(ServiceLoad::Levels)
{}

std::vector<SourceResult> SlotFleet::run(const std::vector<DemandSource> &sources,
                                         std::chrono::seconds duration)
{
    m_sources = sources;
    m_results.assign(sources.size(), {});
    for (int step = 0; m_now < m_start + duration; ++step, m_now += Step) {
        if (step % StepsPerReport == 0)
            report();
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            const auto [router, level] = m_ends.begin()->second;
            m_routers[router].open[level] -= 1;
            m_ends.erase(m_ends.begin());
        }
        fill();
        for (std::size_t source = 0; source < sources.size(); ++source) {
            const auto at = std::chrono::duration_cast<milliseconds>(m_now - m_start);
            std::poisson_distribution<int> count(sources[source].perSecond(at) * inMs(Step) / 1000);
            for (int left = count(m_random); left > 0; --left)
                arrive(source);
        }
    }
    return m_results;
}

void SlotFleet::report()
{
    const double weight = 1 - std::exp(-inMs(Step) * StepsPerReport / 1000);
    std::vector<ServiceLoad::ByLevel> averages;
    for (Router &router : m_routers) {
        for (std::size_t level = 0; level < ServiceLoad::Levels; ++level)
            router.average[level] += weight * (router.open[level] - router.average[level]);
        averages.push_back(router.average);
    }
    m_reports.push_back(std::move(averages));
    if (m_reports.size() > ReportsOfDelay)
        m_reports.pop_front();
    const std::size_t others = m_routers.size() - 1;
    const std::size_t heard = others < MostRoutersHeard ? others : others / 3;
    const double scale = static_cast<double>(others) / static_cast<double>(heard);
    for (std::size_t self = 0; self < m_routers.size(); ++self) {
        m_routers[self].peers = {};
        const std::size_t first = m_random();
        for (std::size_t peer = 0; peer < heard; ++peer) {
            const auto &load =
                    m_reports.front()[(self + 1 + (first + peer) % others) % m_routers.size()];
            for (std::size_t level = 0; level < ServiceLoad::Levels; ++level)
                m_routers[self].peers[level] += scale * load[level];
        }
    }
    double rate = 0;
    double slotTime = 0;
    for (const DemandSource &source : m_sources) {
        const double perSecond =
                source.perSecond(std::chrono::duration_cast<milliseconds>(m_now - m_start));
        rate += perSecond;
        slotTime += perSecond * inMs(source.residence);
    }
    m_residenceMs = slotTime / rate;
}

void SlotFleet::arrive(std::size_t at)
{
    const DemandSource &source = m_sources[at];
    const std::size_t index = m_random() % m_routers.size();
    Router &router = m_routers[index];
    SourceResult &result = m_results[at];
    auto &second =
            result.bySecond[static_cast<std::size_t>((m_now - m_start) / std::chrono::seconds(1))];
    ++result.offered;
    ++second.first;
    router.shares.record(source.account, source.residence, m_now);
    if (m_admits && isRefused(source, router)) {
        ++result.refused;
        ++second.second;
        return;
    }
    router.open[source.level] += 1;
    m_waiting[source.level].push_back({at, index, m_now});
    fill();
}

bool SlotFleet::isRefused(const DemandSource &source, Router &router)
{
    ServiceLoad load;
    load.slots = m_slots;
    load.residence = std::chrono::duration<double, std::milli>(m_residenceMs);
    for (std::size_t level = 0; level < ServiceLoad::Levels; ++level)
        load.openByLevel[level] = router.open[level] + router.peers[level];
    const double ownSlots = m_slots / static_cast<double>(m_routers.size());
    const AdmissionRequest request{source.level, source.target, m_random(),
                                   router.shares.shareOf(source.account, ownSlots, m_now)};
    return AdmissionControl::refusal(load, request).has_value();
}

void SlotFleet::fill()
{
    for (auto &waiting : m_waiting) {
        while (!waiting.empty() && static_cast<double>(m_ends.size()) < m_slots) {
            const Waiting next = waiting.front();
            waiting.pop_front();
            const DemandSource &source = m_sources[next.source];
            SourceResult &result = m_results[next.source];
            ++(m_now - next.since <= source.target ? result.inTime : result.late);
            std::uniform_real_distribution<double> factor(0.8, 1.2);
            const auto stay = std::chrono::duration_cast<SteadyTime::duration>(factor(m_random)
                                                                               * source.residence);
            m_ends.emplace(m_now + stay, std::pair(next.router, source.level));
        }
    }
}

} // namespace almondmill::test
