#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/orders/leaserecord.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace almondmill {

class ConditionalStore;

/// Parameters of a lease.
struct LeaseOptions
{
    std::string objectName;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds duration{6000};

    /// Longest time that an order may be in flight. A new holder waits for this time after the
    /// previous lease has expired.
    std::chrono::milliseconds orderTimeout{2000};
    std::chrono::milliseconds storeTimeout{1000};
};

/// A lease held by conditional updates of one stored object. Each process measures time with its
/// own steady clock. The holder counts the duration from before it sent the last renewal; a
/// candidate counts from after it first read the present record. So two processes cannot both be
/// allowed to send orders at the same time, except when a process is suspended between its check
/// and its send. Orders carry a fencing token for that case. Not thread-safe.
class Lease
{
public:
    using Clock = std::function<SteadyTime()>;

    Lease(ConditionalStore &store, LeaseOptions options);

    /// Whether an order sent at `now` reaches its timeout before the lease expires.
    bool mayOrder(SteadyTime now) const;

    /// Whether this process holds the lease at `now`.
    bool held(SteadyTime now) const { return m_held && now < m_heldUntil; }

    /// When the lease expires; valid only while `held` is true.
    SteadyTime heldUntil() const { return m_heldUntil; }

    /// Time by which the previous holder has sent its last order; nullopt when there was no
    /// previous holder.
    std::optional<SteadyTime> previousOrdersEnd() const { return m_previousOrdersEnd; }

    /// Fencing token that each order carries; zero while the lease is not held.
    std::uint64_t fencing() const { return m_held ? m_record.fencing : 0; }

    /// Holder in the last record read; empty when there is none.
    const std::string &lastSeenHolder() const { return m_record.holder; }

    /// Renews the lease when it is held, or else tries to acquire it. Makes at most two calls to
    /// the store and reads `clock` before and after them.
    void maintain(const Clock &clock);

    /// Reads the present record without requesting the lease. Makes one call to the store.
    void observe(const Clock &clock);

    /// The holder's note in the last record read.
    const std::string &lastSeenNote() const { return m_record.note; }

    /// Sets the note to store with each record that this process writes from now on.
    void setNote(std::string note) { m_note = std::move(note); }

    /// Releases the lease, so that another process can acquire it without waiting. `idle` is the
    /// time since the last order was sent under it. A failed store call is not retried.
    void release(std::chrono::milliseconds idle = std::chrono::milliseconds(0));

private:
    bool isOwn(const LeaseRecord &record) const;
    void acquire(const Clock &clock);
    void renew(const Clock &clock);
    void create(const Clock &clock);
    void storeRecord(const std::string &value, std::uint64_t version, SteadyTime readAt);
    bool isExpired(SteadyTime now) const;
    SteadyTime lastOrderBound() const;
    /// The record to write at `now`, for a holder after one whose last order was sent by
    /// `previousOrdersEnd`.
    LeaseRecord nextRecord(std::uint64_t fencing, std::optional<SteadyTime> previousOrdersEnd,
                           SteadyTime now) const;
    /// Bound of the previous holder's orders that the present record, which is this process's own,
    /// states.
    std::optional<SteadyTime> recordedOrdersEnd() const;
    void setHeld(const LeaseRecord &record, std::uint64_t version, SteadyTime countedFrom);
    void setLost() { m_held = false; }

    ConditionalStore &m_store;
    LeaseOptions m_options;
    LeaseRecord m_record;
    std::uint64_t m_version = 0;
    std::optional<SteadyTime> m_recordSince; ///< When the present record was first read.
    std::optional<SteadyTime> m_previousOrdersEnd;
    std::string m_note;
    bool m_held = false;
    SteadyTime m_heldUntil;
};

} // namespace almondmill
