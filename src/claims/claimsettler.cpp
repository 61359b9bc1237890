#include "almondmill/claims/claimsettler.h"

#include "almondmill/claims/claimstore.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/metrics/metrics.h"

#include <algorithm>
#include <random>

namespace almondmill {

namespace {

/// Returns a random delay between half of `delay` and `delay`.
std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    std::uniform_int_distribution<std::int64_t> distribution(delay.count() / 2, delay.count());
    return std::chrono::milliseconds(distribution(generator));
}

} // namespace

ClaimSettler::ClaimSettler(ClaimStore &claims, Metrics &metrics)
    : m_claims(claims)
    , m_settled(metrics.counter("almondmill_claims_settled_late_total"))
    , m_dropped(metrics.counter("almondmill_claims_settle_dropped_total"))
{}

ClaimSettler::~ClaimSettler()
{
    stop();
}

std::size_t ClaimSettler::pending() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_entries.size();
}

void ClaimSettler::add(std::string name, Claim outcome)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_entries.size() == MaxPending) {
            m_entries.pop_front();
            m_dropped.add();
        }
        m_entries.push_back({std::move(name), std::move(outcome)});
    }
    m_changed.notify_all();
}

bool ClaimSettler::settlePending()
{
    for (;;) {
        Entry entry;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_entries.empty())
                return true;
            entry = m_entries.front();
        }
        if (!settle(entry))
            return false;
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_entries.empty() && m_entries.front().outcome.id == entry.outcome.id)
            m_entries.pop_front();
    }
}

bool ClaimSettler::settle(const Entry &entry)
{
    try {
        if (!m_claims.settle(entry.name, entry.outcome))
            return false;
        m_settled.add();
    } catch (const Error &error) {
        log(LogLevel::Error, "claims",
            "Cannot write the outcome of " + entry.name + "; dropping it: " + error.what());
        m_dropped.add();
    }
    return true;
}

void ClaimSettler::start()
{
    m_thread = std::thread([this] { run(); });
}

void ClaimSettler::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ClaimSettler::run()
{
    std::chrono::milliseconds delay = InitialRetryDelay;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait(lock, [&] { return m_stopping || !m_entries.empty(); });
        if (m_changed.wait_for(lock, jittered(delay), [&] { return m_stopping; }))
            return;
        lock.unlock();
        const bool settled = settlePending();
        lock.lock();
        delay = settled ? InitialRetryDelay : std::min(delay * 2, MaxRetryDelay);
    }
}

} // namespace almondmill
