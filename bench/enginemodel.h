#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/kernel/time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace almondmill::bench {

/// One simulated request.
struct Job
{
    std::uint32_t id = 0;
    std::uint32_t router = 0;
    std::uint32_t account = 0;
    SteadyTime arrived;
    std::vector<std::uint64_t> keys;
    Priority priority = Priority::High;
    std::chrono::microseconds decode{0};
};

/// A started prefill: its job, its cached blocks and the time of its first token.
struct Prefill
{
    Job job;
    std::uint32_t cachedBlocks = 0;
    SteadyTime firstToken;
};

/// Simulates an engine with a bounded block cache and a batch of decodes. It runs one prefill at a
/// time, high priority first, and each running decode slows the prefill down.
class EngineModel
{
public:
    static constexpr std::chrono::microseconds BlockTime{80000};
    static constexpr std::chrono::microseconds BaseTime{15000};
    static constexpr std::chrono::seconds IdleTime{8};
    static constexpr std::size_t CacheBlocks = 96;
    static constexpr std::size_t BatchSize = 48;
    static constexpr double SlowdownPerDecode = 0.01;

    std::uint64_t incarnation() const { return m_incarnation; }
    bool isUp(SteadyTime now) const { return now >= m_downUntil; }
    bool prefilling() const { return m_prefilling; }
    std::chrono::microseconds busyTime() const { return m_busy; }

    /// Requests that wait for their first token.
    std::uint32_t waiting() const
    {
        return static_cast<std::uint32_t>(m_high.size() + m_low.size()) + (m_prefilling ? 1 : 0);
    }

    std::uint32_t waitingHigh() const
    {
        return static_cast<std::uint32_t>(m_high.size()) + (m_prefilling ? 1 : 0);
    }

    bool isCached(std::uint64_t key, SteadyTime now) const
    {
        const auto found = m_cache.find(key);
        return found != m_cache.end() && found->second + IdleTime > now;
    }

    /// Number of leading blocks that are cached. With `withQueued`, blocks that the queued jobs
    /// will compute count as cached.
    std::uint32_t cachedBlocks(const std::vector<std::uint64_t> &keys, SteadyTime now,
                               bool withQueued) const
    {
        std::uint32_t blocks = 0;
        for (const std::uint64_t key : keys) {
            if (!isCached(key, now) && !(withQueued && m_queuedKeys.count(key) != 0))
                break;
            ++blocks;
        }
        return blocks;
    }

    /// Prefill time of the running job and the queued jobs that precede a new job of this priority,
    /// from the present contents of the cache.
    std::chrono::microseconds queueDelayFor(Priority priority, SteadyTime now) const
    {
        auto total =
                std::max(std::chrono::duration_cast<std::chrono::microseconds>(m_prefillEnds - now),
                         std::chrono::microseconds{0});
        for (const Job &job : m_high)
            total += prefillTimeOf(job, now);
        for (const Job &job : m_low)
            total += priority == Priority::Low ? prefillTimeOf(job, now)
                                               : std::chrono::microseconds{0};
        return total;
    }

    std::vector<std::uint64_t> cachedKeys() const
    {
        std::vector<std::uint64_t> keys;
        for (const auto &[key, used] : m_cache)
            keys.push_back(key);
        return keys;
    }

    void enqueue(Job job)
    {
        for (const std::uint64_t key : job.keys)
            ++m_queuedKeys[key];
        (job.priority == Priority::High ? m_high : m_low).push_back(std::move(job));
    }

    /// Starts the next prefill. Returns false if the engine is busy or down, its batch is full or
    /// no job is queued.
    bool startNext(SteadyTime now, Prefill &prefill)
    {
        while (!m_decodes.empty() && m_decodes.front() <= now) {
            std::pop_heap(m_decodes.begin(), m_decodes.end(), std::greater<>());
            m_decodes.pop_back();
        }
        auto &queue = m_high.empty() ? m_low : m_high;
        if (m_prefilling || !isUp(now) || queue.empty() || m_decodes.size() >= BatchSize)
            return false;
        prefill.job = std::move(queue.front());
        queue.pop_front();
        prefill.cachedBlocks = cachedBlocks(prefill.job.keys, now, false);
        const auto missed = prefill.job.keys.size() - prefill.cachedBlocks;
        const double slowdown = 1.0 + SlowdownPerDecode * static_cast<double>(m_decodes.size());
        const auto work = std::chrono::duration_cast<std::chrono::microseconds>(
                (BaseTime + static_cast<std::int64_t>(missed) * BlockTime) * slowdown);
        prefill.firstToken = now + work;
        m_prefillEnds = prefill.firstToken;
        m_busy += work;
        m_prefilling = true;
        markUsed(prefill.job.keys, prefill.cachedBlocks, now);
        return true;
    }

    void finishPrefill(const Prefill &prefill, SteadyTime now)
    {
        m_prefilling = false;
        markUsed(prefill.job.keys, prefill.job.keys.size(), now);
        for (const std::uint64_t key : prefill.job.keys) {
            if (--m_queuedKeys[key] == 0)
                m_queuedKeys.erase(key);
        }
        m_decodes.push_back(now + prefill.job.decode);
        std::push_heap(m_decodes.begin(), m_decodes.end(), std::greater<>());
    }

    /// Time at which the first decode ends and frees its slot in the batch.
    SteadyTime nextDecodeEnd() const { return m_decodes.front(); }
    bool batchFull() const { return m_decodes.size() >= BatchSize; }

    /// Simulates a crash, which empties the cache and the queues. Returns the queued jobs.
    std::vector<Job> restart(SteadyTime downUntil)
    {
        std::vector<Job> lost(std::make_move_iterator(m_high.begin()),
                              std::make_move_iterator(m_high.end()));
        lost.insert(lost.end(), std::make_move_iterator(m_low.begin()),
                    std::make_move_iterator(m_low.end()));
        m_high.clear();
        m_low.clear();
        m_cache.clear();
        m_queuedKeys.clear();
        m_decodes.clear();
        m_prefilling = false;
        m_downUntil = downUntil;
        m_prefillEnds = downUntil;
        ++m_incarnation;
        return lost;
    }

private:
    std::chrono::microseconds prefillTimeOf(const Job &job, SteadyTime now) const
    {
        const auto missed = job.keys.size() - cachedBlocks(job.keys, now, false);
        return BaseTime + static_cast<std::int64_t>(missed) * BlockTime;
    }

    void markUsed(const std::vector<std::uint64_t> &keys, std::size_t count, SteadyTime now)
    {
        // Later blocks of a prefix get an earlier time of use, so that they are evicted first.
        for (std::size_t i = 0; i < count; ++i)
            m_cache[keys[i]] = now - std::chrono::microseconds(i);
        if (m_cache.size() <= CacheBlocks)
            return;
        std::erase_if(m_cache, [&](const auto &item) { return item.second + IdleTime <= now; });
        while (m_cache.size() > CacheBlocks) {
            m_cache.erase(std::min_element(
                    m_cache.begin(), m_cache.end(),
                    [](const auto &a, const auto &b) { return a.second < b.second; }));
        }
    }

    std::uint64_t m_incarnation = 1;
    SteadyTime m_downUntil;
    SteadyTime m_prefillEnds;
    bool m_prefilling = false;
    std::chrono::microseconds m_busy{0};
    std::deque<Job> m_high;
    std::deque<Job> m_low;
    std::vector<SteadyTime> m_decodes;
    std::unordered_map<std::uint64_t, SteadyTime> m_cache;
    std::unordered_map<std::uint64_t, std::uint32_t> m_queuedKeys;
};

} // namespace almondmill::bench
