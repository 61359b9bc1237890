// Simulates the request queue and the retry budget with slow endpoints and callers that time out
// and retry, and compares the goodput with that of a router without these two bounds.

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
constexpr milliseconds CallerTimeout{6000};
constexpr milliseconds QueueWait{3000};
constexpr milliseconds Tick{10};
constexpr milliseconds RunTime{120000};
constexpr milliseconds WarmUp{30000};
constexpr int CallerRetries = 3;
constexpr std::size_t QueueCapacity = 200;
constexpr double FailureShare = 0.05;
constexpr SteadyTime Start{std::chrono::hours(1)};

/// One call of a caller. A caller that timed out or was refused retries with a new call.
struct Call
{
    SteadyTime arrived;
    SteadyTime retryAt;
    int retriesLeft = CallerRetries;
    bool answered = false;
    bool abandoned = false;
};

/// All endpoints as one first-in, first-out pool, which also runs calls that the caller abandoned.
struct Pool
{
    std::deque<std::size_t> waiting;
    std::vector<std::pair<SteadyTime, std::size_t>> running;

    std::size_t freeSlots() const
    {
        const std::size_t open = waiting.size() + running.size();
        const std::size_t slots = Endpoints * SlotsPerEndpoint;
        return open < slots ? slots - open : 0;
    }
};

/// One simulation at `load` times the endpoints' capacity.
class Run
{
public:
    Run(double load, bool bounded)
        : m_load(load)
        , m_bounded(bounded)
        , m_queue(QueueCapacity)
        , m_budget(RetryBudget::Options{}, Start)
    {}

    /// Answers per second that arrive before the caller's timeout.
    double goodput()
    {
        const double perTick = m_load * capacityPerSecond() * Tick.count() / 1000.0;
        double pendingArrivals = 0;
        for (SteadyTime now = Start; now < Start + RunTime; now += Tick) {
            for (pendingArrivals += perTick; pendingArrivals >= 1; pendingArrivals -= 1)
                arrive(newCall(now), now);
            timeOutCalls(now);
            startRetries(now);
            finish(now);
            dispatch(now);
            startRunning(now);
        }
        const std::chrono::duration<double> counted = RunTime - WarmUp;
        return static_cast<double>(m_answeredInTime) / counted.count();
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
        call.abandoned = true;
        if (call.retriesLeft-- > 0)
            m_pendingRetries.push_back({now + milliseconds(500), index});
    }

    void timeOutCalls(SteadyTime now)
    {
        std::erase_if(m_open, [&](std::size_t index) {
            Call &call = m_calls[index];
            if (call.answered || call.abandoned)
                return true;
            if (now < call.arrived + CallerTimeout)
                return false;
            refuse(index, now);
            return true;
        });
    }

    void startRetries(SteadyTime now)
    {
        while (!m_pendingRetries.empty() && m_pendingRetries.front().first <= now) {
            const int retriesLeft = m_calls[m_pendingRetries.front().second].retriesLeft;
            m_pendingRetries.pop_front();
            const std::size_t index = newCall(now);
            m_calls[index].retriesLeft = retriesLeft;
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
        if (failed && !call.abandoned && (!m_bounded || m_budget.take(now))) {
            m_pool.waiting.push_back(index);
            return;
        }
        if (failed || call.abandoned)
            return;
        call.answered = true;
        if (now >= Start + WarmUp)
            ++m_answeredInTime;
    }

    void dispatch(SteadyTime now)
    {
        std::vector<std::uint64_t> expired;
        for (std::size_t freeSlots = m_pool.freeSlots(); freeSlots > 0; --freeSlots) {
            const auto id = m_queue.pop(now, expired);
            if (!id)
                break;
            if (!m_calls[*id].abandoned)
                m_pool.waiting.push_back(*id);
        }
        for (const std::uint64_t id : expired)
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
    std::deque<std::pair<SteadyTime, std::size_t>> m_pendingRetries;
    std::uint64_t m_answeredInTime = 0;
};

} // namespace

int main()
{
    constexpr double Loads[] = {0.9, 1.5, 3.0};
    constexpr double MinGoodputRatio = 0.9;
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
    return last >= MinGoodputRatio ? 0 : 1;
}
