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

/// The queue was full, and this request was the furthest back in the fair order.
struct QueueFull
{};

/// No endpoint had room before the request's deadline.
struct QueuedTooLong
{};

using AdmissionResult = std::variant<AdmissionSlot, QueueFull, QueuedTooLong>;

/// Lets requests of one model through while its endpoints have room, and holds the others in a
/// bounded fair queue until their deadlines. Safe from several threads.
class AdmissionGate
{
public:
    using Clock = std::function<SteadyTime()>;

    /// Number of further requests that the endpoints have room for, as far as this router knows.
    using Room = std::function<std::size_t()>;

    AdmissionGate(std::size_t queueCapacity, Clock clock);

    /// Requests that wait now.
    std::size_t waiting() const;

    /// Blocks until the request may be sent, is dropped or is too late. `request.id` is set here.
    AdmissionResult acquire(QueuedRequest request, const Room &room);

private:
    friend class AdmissionSlot;

    enum class State { Waiting, Admitted, Dropped, Late };

    struct Waiter
    {
        State state = State::Waiting;
        std::condition_variable changed;
    };

    void release();
    void dispatch(const Room &room);
    void settle(std::uint64_t id, State state);
    AdmissionResult waitFor(std::unique_lock<std::mutex> &lock, const QueuedRequest &request,
                            const std::shared_ptr<Waiter> &waiter, const Room &room);

    Clock m_clock;
    mutable std::mutex m_mutex;
    RequestQueue m_queue;
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
    std::uint64_t m_nextId = 0;
    std::size_t m_admittedUnsent = 0;
};

} // namespace almondmill
