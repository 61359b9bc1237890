#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstddef>

namespace almondmill {

class AnswerReservation;

/// Bounds the memory that unfinished answers take, over all requests of the router. One faulty
/// endpoint that sends without end on many connections would otherwise fill the VM. Beyond the
/// limit, the endpoint whose answers take most loses the largest of them. Must be used on the event
/// loop only.
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t limit);

    std::size_t usedBytes() const { return m_used; }

private:
    friend class AnswerReservation;

    void add(AnswerReservation &reservation);
    void remove(AnswerReservation &reservation);
    /// Replaces the size of a reservation, and ends answers until the limit is kept.
    void resize(std::size_t before, std::size_t after);
    /// The largest answer of the endpoint whose answers take most; null when there is none.
    AnswerReservation *largest() const;

    const std::size_t m_limit;
    std::size_t m_used = 0;
    absl::flat_hash_set<AnswerReservation *> m_reservations;
};

} // namespace almondmill
