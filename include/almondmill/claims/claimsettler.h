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

/// Queue of claim outcomes that could not be written immediately; each is retried until it is
/// stored. The queue is lost when the process ends. Callers of such a claim then receive an unknown
/// outcome until the claim is swept, and the call is not run again.
class ClaimSettler
{
public:
    static constexpr std::size_t MaxPending = 10000;
    static constexpr std::chrono::milliseconds InitialRetryDelay{200};
    static constexpr std::chrono::milliseconds MaxRetryDelay{5000};

    ClaimSettler(ClaimStore &claims, Metrics &metrics);
    ~ClaimSettler();

    std::size_t pending() const;

    /// Queues an outcome. When the queue is full, the oldest entry is dropped and counted.
    void add(std::string name, Claim outcome);

    /// Tries to write every queued outcome once, oldest first, and stops at the first failure.
    /// Returns whether the queue is empty.
    bool settlePending();

    void start();
    void stop();

private:
    struct Entry
    {
        std::string name;
        Claim outcome;
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
