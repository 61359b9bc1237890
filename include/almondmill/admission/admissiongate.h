#pragma once

#include "almondmill/admission/admissionslot.h"
#include "almondmill/admission/requestqueue.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>

namespace almondmill {

/// The queue was full, and this request was last in the fair order.
struct QueueFull
{};

/// No endpoint had a free slot before the request's deadline.
struct QueueTimeout
{};

using AdmissionResult = std::variant<AdmissionSlot, QueueFull, QueueTimeout>;

/// Admits requests of one model while its endpoints have free slots, and holds the others in a
/// bounded fair queue until their deadlines. Thread-safe.
class AdmissionGate
{
public:
    using Clock = std::function<SteadyTime()>;

    /// Number of further requests that the endpoints can take, as far as this router knows.
    using FreeSlots = std::function<std::size_t()>;

    AdmissionGate(std::size_t queueCapacity, Clock clock);

    /// Number of requests that are waiting.
    std::size_t waiting() const;

    /// Blocks until the request is admitted, dropped or past its deadline. Assigns `request.id`.
    AdmissionResult acquire(QueuedRequest request, const FreeSlots &freeSlots);

private:
    friend class AdmissionSlot;

    enum class State { Waiting, Admitted, Dropped, Expired };

    struct Waiter
    {
        State state = State::Waiting;
        std::condition_variable changed;
    };

    void release();
    void dispatch(const FreeSlots &freeSlots);
    void resolve(std::uint64_t id, State state);
    AdmissionResult waitFor(std::unique_lock<std::mutex> &lock, const QueuedRequest &request,
                            const std::shared_ptr<Waiter> &waiter, const FreeSlots &freeSlots);

    Clock m_clock;
    mutable std::mutex m_mutex;
    RequestQueue m_queue;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_nextId = 0;
    std::size_t m_admittedUnsent = 0;
};

} // namespace almondmill
