#include "almondmill/http/heldmemory.h"

#include "almondmill/http/memoryreservation.h"
#include "almondmill/observe/eventline.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <utility>

namespace almondmill {

namespace {

using Kind = MemoryReservation::Kind;

const char *nameOf(Kind kind)
{
    switch (kind) {
    case Kind::UnfinishedRequest:
        return "unfinished_request";
    case Kind::Request:
        return "request";
    case Kind::UnfinishedAnswer:
        return "unfinished_answer";
    }
    return "request";
}

/// The largest reservation of the origin that holds most, among those of `all` that `isCandidate`
/// accepts; null when there is none.
template<typename All, typename Predicate>
MemoryReservation *largestOfHeaviest(const All &all, const Predicate &isCandidate)
{
    absl::flat_hash_map<std::string, std::size_t> byOrigin;
    for (const MemoryReservation *reservation : all) {
        if (reservation->bytes() > 0 && isCandidate(*reservation))
            byOrigin[reservation->origin().name] += reservation->bytes();
    }
    const auto heaviest = std::max_element(
            byOrigin.begin(), byOrigin.end(),
            [](const auto &first, const auto &second) { return first.second < second.second; });
    MemoryReservation *found = nullptr;
    for (MemoryReservation *reservation : all) {
        const bool isOfHeaviest = reservation->bytes() > 0 && isCandidate(*reservation)
                                  && reservation->origin().name == heaviest->first;
        if (isOfHeaviest && (!found || reservation->bytes() > found->bytes()))
            found = reservation;
    }
    return found;
}

bool isLarge(const MemoryReservation &reservation)
{
    return reservation.bytes() > HeldMemory::SmallBytes;
}

} // namespace

HeldMemory::HeldMemory(const MemoryLimits &limits, Observer observer)
    : m_limits(limits)
    , m_observer(std::move(observer))
{}

std::size_t HeldMemory::usedBytes() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_used;
}

void HeldMemory::add(MemoryReservation &reservation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_reservations.insert(&reservation);
}

void HeldMemory::remove(MemoryReservation &reservation)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_reservations.erase(&reservation);
    m_used -= reservation.bytes();
    if (reservation.kind() == Kind::UnfinishedAnswer)
        m_usedByAnswers -= reservation.bytes();
}

void HeldMemory::change(MemoryReservation &reservation, const std::function<void()> &update)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!reservation.isEvicted())
        update();
}

void HeldMemory::resize(MemoryReservation &reservation, std::size_t bytes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (reservation.isEvicted())
        return;
    const std::size_t before = std::exchange(reservation.m_bytes, bytes);
    m_used = m_used - before + bytes;
    if (reservation.kind() == Kind::UnfinishedAnswer)
        m_usedByAnswers = m_usedByAnswers - before + bytes;
    while (bytes > before && (m_used > m_limits.total || m_usedByAnswers > m_limits.answers)) {
        MemoryReservation *evicted = next();
        if (!evicted)
            return;
        evict(*evicted);
    }
}

void HeldMemory::evict(MemoryReservation &reservation)
{
    EventLine("memory.evicted")
            .add("kind", nameOf(reservation.kind()))
            .add("origin", reservation.origin().name)
            .add("id", reservation.origin().request)
            .add("bytes", std::uint64_t(reservation.bytes()))
            .add("used", std::uint64_t(m_used));
    if (m_observer)
        m_observer(nameOf(reservation.kind()));
    reservation.m_isEvicted = true;
    const std::size_t bytes = std::exchange(reservation.m_bytes, 0);
    m_used -= bytes;
    if (reservation.kind() == Kind::UnfinishedAnswer)
        m_usedByAnswers -= bytes;
    reservation.m_evict();
}

MemoryReservation *HeldMemory::next() const
{
    const auto isAnswer = [](const auto &held) { return held.kind() == Kind::UnfinishedAnswer; };
    if (m_usedByAnswers > m_limits.answers)
        return largestOfHeaviest(m_reservations, isAnswer);
    const auto isUnfinishedLarge = [](const auto &held) {
        return held.kind() != Kind::Request && isLarge(held);
    };
    if (auto *found = largestOfHeaviest(m_reservations, isUnfinishedLarge))
        return found;
    const auto isFinishedLarge = [](const auto &held) {
        return held.kind() == Kind::Request && isLarge(held);
    };
    if (auto *found = largestOfHeaviest(m_reservations, isFinishedLarge))
        return found;
    return largestOfHeaviest(m_reservations,
                             [](const auto &held) { return held.kind() != Kind::Request; });
}

MemoryReservation::MemoryReservation(std::shared_ptr<HeldMemory> memory, Kind kind, Origin origin,
                                     std::function<void()> evict)
    : m_memory(std::move(memory))
    , m_kind(kind)
    , m_origin(std::move(origin))
    , m_evict(std::move(evict))
{
    m_memory->add(*this);
}

MemoryReservation::~MemoryReservation()
{
    m_memory->remove(*this);
}

void MemoryReservation::resize(std::size_t bytes)
{
    m_memory->resize(*this, bytes);
}

void MemoryReservation::hold(Kind kind)
{
    m_memory->change(*this, [&] { m_kind = kind; });
}

void MemoryReservation::hold(Kind kind, Origin origin)
{
    m_memory->change(*this, [&] {
        m_kind = kind;
        m_origin = std::move(origin);
    });
}

} // namespace almondmill
