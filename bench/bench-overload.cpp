// Drives queue and retry budget on a clock of their own before slow endpoints, with callers that
// give up and call again, and compares the useful work with a router that has neither bound.

#include "almondmill/admission/requestqueue.h"
#include "almondmill/admission/retrybudget.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <random>
#include <vector>

namespace {

using namespace almondmill;
using std::chrono::milliseconds;

constexpr std::size_t Endpoints = 9;
constexpr std::size_t SlotsPerEndpoint = 8;
constexpr milliseconds ServiceTime{2000};
constexpr milliseconds CallerPatience{6000};
constexpr milliseconds QueueWait{3000};
constexpr milliseconds Tick{10};
constexpr milliseconds RunTime{120000};
constexpr milliseconds WarmUp{30000};
constexpr int CallerRetries = 3;
constexpr std::size_t QueueCapacity = 200;
constexpr double FailureShare = 0.05;
constexpr SteadyTime Start{std::chrono::hours(1)};

/// One call of a caller; the same caller calls again when it gave up or was refused.
struct Call
{
    SteadyTime arrived;
    SteadyTime callAgainAt;
    int callsLeft = CallerRetries;
    bool answered = false;
    bool gone = false;
};

/// Endpoints as one pool: first come, first served, and it does not notice callers that are gone.
struct Pool
{
    std::deque<std::size_t> waiting;
    std::vector<std::pair<SteadyTime, std::size_t>> running;

    std::size_t room() const
    {
        const std::size_t open = waiting.size() + running.size();
        const std::size_t slots = Endpoints * SlotsPerEndpoint;
        return open < slots ? slots - open : 0;
    }
};

/// One run at `load` times the endpoints' capacity.
class Run
{
public:
    Run(double load, bool bounded)
        : m_load(load)
        , m_bounded(bounded)
        , m_queue(QueueCapacity)
        , m_budget(RetryBudget::Options{}, Start)
    {}

    /// Answers a second that reached a caller who still waited.
    double goodput()
    {
        const double perTick = m_load * capacityPerSecond() * Tick.count() / 1000.0;
        double due = 0;
        for (SteadyTime now = Start; now < Start + RunTime; now += Tick) {
            for (due += perTick; due >= 1; due -= 1)
                arrive(newCall(now), now);
            giveUp(now);
            callAgain(now);
            finish(now);
            dispatch(now);
            startRunning(now);
        }
        const std::chrono::duration<double> counted = RunTime - WarmUp;
        return static_cast<double>(m_useful) / counted.count();
    }

    static double capacityPerSecond()
    {
        return Endpoints * SlotsPerEndpoint * 1000.0 / ServiceTime.count();
    }

private:
    std::size_t newCall(SteadyTime now)
    {
        m_calls.push_back({now, {}, CallerRetries, false, false});
        m_open.push_back(m_calls.size() - 1);
        return m_calls.size() - 1;
    }

    void arrive(std::size_t index, SteadyTime now)
    {
        m_budget.requestStarted(now);
        if (!m_bounded) {
            m_pool.waiting.push_back(index);
            return;
        }
        const QueuedRequest request{index, index % 8, 1, Priority::High, now + QueueWait};
        if (const auto dropped = m_queue.push(request))
            refuse(*dropped, now);
    }

    void refuse(std::size_t index, SteadyTime now)
    {
        Call &call = m_calls[index];
        call.gone = true;
        if (call.callsLeft-- > 0)
            m_again.push_back({now + milliseconds(500), index});
    }

    void giveUp(SteadyTime now)
    {
        std::erase_if(m_open, [&](std::size_t index) {
            Call &call = m_calls[index];
            if (call.answered || call.gone)
                return true;
            if (now < call.arrived + CallerPatience)
                return false;
            refuse(index, now);
            return true;
        });
    }

    void callAgain(SteadyTime now)
    {
        while (!m_again.empty() && m_again.front().first <= now) {
            const int callsLeft = m_calls[m_again.front().second].callsLeft;
            m_again.pop_front();
            const std::size_t index = newCall(now);
            m_calls[index].callsLeft = callsLeft;
            arrive(index, now);
        }
    }

    void finish(SteadyTime now)
    {
        std::erase_if(m_pool.running, [&](const auto &entry) {
            if (entry.first > now)
                return false;
            complete(entry.second, now);
            return true;
        });
    }

    void complete(std::size_t index, SteadyTime now)
    {
        Call &call = m_calls[index];
        const bool failed = std::bernoulli_distribution(FailureShare)(m_random);
        if (failed && !call.gone && (!m_bounded || m_budget.take(now))) {
            m_pool.waiting.push_back(index);
            return;
        }
        if (failed || call.gone)
            return;
        call.answered = true;
        if (now >= Start + WarmUp)
            ++m_useful;
    }

    void dispatch(SteadyTime now)
    {
        std::vector<std::uint64_t> late;
        for (std::size_t room = m_pool.room(); room > 0; --room) {
            const auto id = m_queue.pop(now, late);
            if (!id)
                break;
            if (!m_calls[*id].gone)
                m_pool.waiting.push_back(*id);
        }
        for (const std::uint64_t id : late)
            refuse(id, now);
    }

    void startRunning(SteadyTime now)
    {
        while (m_pool.running.size() < Endpoints * SlotsPerEndpoint && !m_pool.waiting.empty()) {
            m_pool.running.push_back({now + ServiceTime, m_pool.waiting.front()});
            m_pool.waiting.pop_front();
        }
    }

    double m_load;
    bool m_bounded;
    RequestQueue m_queue;
    RetryBudget m_budget;
    Pool m_pool;
    std::mt19937 m_random{20261204};
    std::vector<Call> m_calls;
    std::vector<std::size_t> m_open;
    std::deque<std::pair<SteadyTime, std::size_t>> m_again;
    std::uint64_t m_useful = 0;
};

} // namespace

int main()
{
    constexpr double Loads[] = {0.9, 1.5, 3.0};
    constexpr double LeastRatio = 0.9;
    double best = 0;
    for (const double load : Loads)
        best = std::max({best, Run(load, true).goodput(), Run(load, false).goodput()});
    std::printf("overload capacity_per_s=%.1f best_per_s=%.1f\n", Run::capacityPerSecond(), best);
    double last = 0;
    for (const double load : Loads) {
        const double bounded = Run(load, true).goodput() / best;
        const double unbounded = Run(load, false).goodput() / best;
        std::printf("overload load=%.1f goodput_ratio=%.3f unbounded_ratio=%.3f\n", load, bounded,
                    unbounded);
        last = bounded;
    }
    return last >= LeastRatio ? 0 : 1;
}
