#include "almondmill/admission/admissiongate.h"

#include <algorithm>

namespace almondmill {

namespace {

/// How often a waiting request looks again for room that other routers' requests left.
constexpr std::chrono::milliseconds RoomCheckInterval{20};

} // namespace

void AdmissionSlot::release()
{
    if (m_gate)
        std::exchange(m_gate, nullptr)->release();
}

AdmissionGate::AdmissionGate(std::size_t queueCapacity, Clock clock)
    : m_clock(std::move(clock))
    , m_queue(queueCapacity)
{}

std::size_t AdmissionGate::waiting() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_queue.size();
}

AdmissionResult AdmissionGate::acquire(QueuedRequest request, const Room &room)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    request.id = m_nextId++;
    const auto waiter = std::make_shared<Waiter>();
    m_waiters.emplace(request.id, waiter);
    if (const auto dropped = m_queue.push(request))
        settle(*dropped, State::Dropped);
    dispatch(room);
    return waitFor(lock, request, waiter, room);
}

AdmissionResult AdmissionGate::waitFor(std::unique_lock<std::mutex> &lock,
                                       const QueuedRequest &request,
                                       const std::shared_ptr<Waiter> &waiter, const Room &room)
{
    while (waiter->state == State::Waiting) {
        if (m_clock() >= request.deadline) {
            m_queue.remove(request.id);
            settle(request.id, State::Late);
            break;
        }
        waiter->changed.wait_for(lock, RoomCheckInterval);
        if (waiter->state == State::Waiting)
            dispatch(room);
    }
    switch (waiter->state) {
    case State::Admitted:
        return AdmissionResult(std::in_place_type<AdmissionSlot>, *this);
    case State::Dropped:
        return QueueFull{};
    case State::Waiting:
    case State::Late:
        break;
    }
    return QueuedTooLong{};
}

void AdmissionGate::release()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_admittedUnsent;
}

void AdmissionGate::dispatch(const Room &room)
{
    std::vector<std::uint64_t> late;
    const std::size_t free = room();
    while (m_queue.size() > 0 && m_admittedUnsent < free) {
        const auto id = m_queue.pop(m_clock(), late);
        if (!id)
            break;
        ++m_admittedUnsent;
        settle(*id, State::Admitted);
    }
    for (const std::uint64_t id : late)
        settle(id, State::Late);
}

void AdmissionGate::settle(std::uint64_t id, State state)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    found->second->state = state;
    found->second->changed.notify_one();
    m_waiters.erase(found);
}

} // namespace almondmill
