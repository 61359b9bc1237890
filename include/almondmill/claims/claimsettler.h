#pragma once

#include "almondmill/claims/claim.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace almondmill {

class ClaimStore;
class Counter;
class Metrics;

/// Ends of claims that could not be written when they were due, tried again until they stand. Lost
/// with the process: such a claim is then told as unknown until it is swept, and never run.
class ClaimSettler
{
public:
    static constexpr std::size_t MostPending = 10000;
    static constexpr std::chrono::milliseconds FirstRetry{200};
    static constexpr std::chrono::milliseconds LastRetry{5000};

    ClaimSettler(ClaimStore &claims, Metrics &metrics);
    ~ClaimSettler();

    std::size_t pending() const;

    /// Queues an end. When too many wait, the oldest is dropped and counted.
    void add(std::string name, Claim ended);

    /// Tries every queued end once, oldest first, up to the first that fails. True when none is
    /// left.
    bool settlePending();

    void start();
    void stop();

private:
    struct Entry
    {
        std::string name;
        Claim ended;
    };

    bool settle(const Entry &entry);
    void run();

    ClaimStore &m_claims;
    Counter &m_settled;
    Counter &m_dropped;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Entry> m_entries;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
