#include "almondmill/admission/admissiongate.h"

#include <algorithm>

namespace almondmill {

namespace {

/// How often a waiting request checks for slots that were freed by other routers' requests.
constexpr std::chrono::milliseconds SlotCheckInterval{20};

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

AdmissionResult AdmissionGate::acquire(QueuedRequest request, const FreeSlots &freeSlots)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    request.id = m_nextId++;
    const auto waiter = std::make_shared<Waiter>();
    m_waiters.emplace(request.id, waiter);
    if (const auto dropped = m_queue.push(request))
        resolve(*dropped, State::Dropped);
    dispatch(freeSlots);
    return waitFor(lock, request, waiter, freeSlots);
}

AdmissionResult AdmissionGate::waitFor(std::unique_lock<std::mutex> &lock,
                                       const QueuedRequest &request,
                                       const std::shared_ptr<Waiter> &waiter,
                                       const FreeSlots &freeSlots)
{
    while (waiter->state == State::Waiting) {
        if (m_clock() >= request.deadline) {
            m_queue.remove(request.id);
            resolve(request.id, State::Expired);
            break;
        }
        waiter->changed.wait_for(lock, SlotCheckInterval);
        if (waiter->state == State::Waiting)
            dispatch(freeSlots);
    }
    switch (waiter->state) {
    case State::Admitted:
        return AdmissionResult(std::in_place_type<AdmissionSlot>, *this);
    case State::Dropped:
        return QueueFull{};
    case State::Waiting:
    case State::Expired:
        break;
    }
    return QueueTimeout{};
}

void AdmissionGate::release()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_admittedUnsent;
}

void AdmissionGate::dispatch(const FreeSlots &freeSlots)
{
    std::vector<std::uint64_t> expired;
    const std::size_t slots = freeSlots();
    while (m_queue.size() > 0 && m_admittedUnsent < slots) {
        const auto id = m_queue.pop(m_clock(), expired);
        if (!id)
            break;
        ++m_admittedUnsent;
        resolve(*id, State::Admitted);
    }
    for (const std::uint64_t id : expired)
        resolve(id, State::Expired);
}

void AdmissionGate::resolve(std::uint64_t id, State state)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    found->second->state = state;
    found->second->changed.notify_one();
    m_waiters.erase(found);
}

} // namespace almondmill
