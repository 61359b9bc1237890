#pragma once

#include "almondmill/kernel/hash.h"
#include "bench/enginemodel.h"

#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace almondmill::bench {

/// Parameters of one deployment's simulated traffic.
struct WorkloadShape
{
    std::string name;
    std::uint32_t engines = 0;
    double requestsPerSecond = 0; ///< A rate near saturation.
    std::uint32_t accounts = 8;
    std::uint32_t prefixesPerAccount = 0; ///< Conversation histories or ledgers.
    std::uint32_t shortestPrefix = 0;     ///< Blocks.
    std::uint32_t longestPrefix = 0;
    std::uint32_t maxUniqueBlocks = 0; ///< Limit of the blocks unique to a request.
    double lowPriorityShare = 0;       ///< Share with low priority and long decodes.
};

inline WorkloadShape rietwerk()
{
    return {"rietwerk", 18, 60, 8, 30, 4, 12, 1, 0.25};
}

inline WorkloadShape kodaikkal()
{
    return {"kodaikkal", 9, 20, 8, 8, 8, 16, 2, 0.30};
}

/// Generates random requests. A prompt consists of a block common to the account, one of the
/// account's prefixes, and blocks unique to the request.
class Workload
{
public:
    Workload(WorkloadShape shape, std::uint64_t seed)
        : m_shape(std::move(shape))
        , m_random(seed)
    {}

    /// Exponentially distributed time to the next request.
    std::chrono::microseconds gap(double perSecond)
    {
        std::exponential_distribution<double> gaps(perSecond);
        return std::chrono::microseconds(static_cast<std::int64_t>(gaps(m_random) * 1e6));
    }

    /// Makes other prefixes and accounts the most popular ones.
    void shiftPopularity() { m_shift += 3; }

    Job next(std::uint32_t id, std::uint32_t routers, SteadyTime now)
    {
        Job job;
        job.id = id;
        job.router = static_cast<std::uint32_t>(m_random() % routers);
        job.arrived = now;
        job.account = (zipf(m_shape.accounts) + m_shift) % m_shape.accounts;
        const std::uint32_t prefix =
                (zipf(m_shape.prefixesPerAccount) + m_shift) % m_shape.prefixesPerAccount;
        std::uint64_t chain = mixHash(job.account + 1, hash64(m_shape.name));
        job.keys.push_back(chain);
        const std::uint64_t seed = mixHash(prefix + 1, chain);
        const std::uint32_t span = m_shape.longestPrefix - m_shape.shortestPrefix + 1;
        const std::uint32_t length =
                m_shape.shortestPrefix + static_cast<std::uint32_t>(seed % span);
        for (std::uint32_t i = 0; i < length; ++i)
            job.keys.push_back(chain = mixHash(chain, seed + i));
        const std::uint64_t uniqueBlocks = m_random() % (m_shape.maxUniqueBlocks + 1);
        for (std::uint64_t i = 0; i < uniqueBlocks; ++i)
            job.keys.push_back(chain = mixHash(chain, m_random()));
        const bool lowPriority =
                std::uniform_real_distribution<>(0, 1)(m_random) < m_shape.lowPriorityShare;
        job.priority = lowPriority ? Priority::Low : Priority::High;
        job.decode = std::chrono::milliseconds(lowPriority ? 6000 : 800);
        return job;
    }

private:
    /// Draws a rank below `count` from a Zipf distribution.
    std::uint32_t zipf(std::uint32_t count)
    {
        double total = 0;
        for (std::uint32_t i = 1; i <= count; ++i)
            total += 1.0 / i;
        double drawn = std::uniform_real_distribution<>(0, total)(m_random);
        for (std::uint32_t i = 1; i < count; ++i) {
            drawn -= 1.0 / i;
            if (drawn <= 0)
                return i - 1;
        }
        return count - 1;
    }

    WorkloadShape m_shape;
    std::mt19937_64 m_random;
    std::uint32_t m_shift = 0;
};

} // namespace almondmill::bench
