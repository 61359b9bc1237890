#include "almondmill/forward/answermemory.h"

#include "almondmill/forward/answerreservation.h"
#include "almondmill/observe/eventline.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <utility>

namespace almondmill {

AnswerMemory::AnswerMemory(std::size_t limit)
    : m_limit(limit)
{}

void AnswerMemory::add(AnswerReservation &reservation)
{
    m_reservations.insert(&reservation);
}

void AnswerMemory::remove(AnswerReservation &reservation)
{
    m_reservations.erase(&reservation);
    m_used -= reservation.bytes();
}

void AnswerMemory::resize(std::size_t before, std::size_t after)
{
    m_used = m_used - before + after;
    while (m_used > m_limit) {
        AnswerReservation *reservation = largest();
        if (!reservation)
            return;
        EventLine("answer.memory_exceeded")
                .add("id", reservation->origin().request)
                .add("endpoint", reservation->origin().endpoint)
                .add("bytes", std::uint64_t(reservation->bytes()))
                .add("used", std::uint64_t(m_used));
        reservation->endAnswer();
    }
}

AnswerReservation *AnswerMemory::largest() const
{
    absl::flat_hash_map<std::string, std::size_t> byEndpoint;
    for (const AnswerReservation *reservation : m_reservations)
        byEndpoint[reservation->origin().endpoint] += reservation->bytes();
    const auto heaviest = std::max_element(
            byEndpoint.begin(), byEndpoint.end(),
            [](const auto &first, const auto &second) { return first.second < second.second; });
    AnswerReservation *found = nullptr;
    for (AnswerReservation *reservation : m_reservations) {
        const bool isCandidate =
                reservation->bytes() > 0 && reservation->origin().endpoint == heaviest->first;
        if (isCandidate && (!found || reservation->bytes() > found->bytes()))
            found = reservation;
    }
    return found;
}

AnswerReservation::AnswerReservation(std::shared_ptr<AnswerMemory> memory, Origin origin,
                                     std::function<void()> end)
    : m_memory(std::move(memory))
    , m_origin(std::move(origin))
    , m_end(std::move(end))
{
    m_memory->add(*this);
}

AnswerReservation::~AnswerReservation()
{
    m_memory->remove(*this);
}

void AnswerReservation::resize(std::size_t bytes)
{
    if (m_isEnded)
        return;
    const std::size_t before = m_bytes;
    m_bytes = bytes;
    m_memory->resize(before, bytes);
}

void AnswerReservation::endAnswer()
{
    m_isEnded = true;
    m_memory->m_used -= m_bytes;
    m_bytes = 0;
    m_end();
}

} // namespace almondmill
