#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/orders/leaserecord.h"
#include "almondmill/store/readresult.h"

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
/// and its send. Orders carry a fencing token for that case.
///
/// A store that returns to an older copy may have lost the record of a holder that still orders.
/// A record from before the return therefore says nothing about who holds the lease: a candidate
/// counts the duration from when it learned of the store's new era. Each era has fencing tokens of
/// its own, above those of all eras before, so none is given out again. Not thread-safe.
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

    /// Era of the store, as far as this process knows; zero when the store states none.
    std::uint64_t storeEra() const { return m_era; }

    /// Holder in the last record read; empty when there is none.
    const std::string &lastSeenHolder() const { return m_record.holder; }

    /// Renews the lease when it is held, or else tries to acquire it. Makes at most two calls to
    /// the store and reads `clock` before and after them.
    void maintain(const Clock &clock);

    /// Records that the store is in that era, as learned at `seenAt`. The lease is lost when it was
    /// acquired in an earlier one.
    void recordEra(std::uint64_t era, SteadyTime seenAt);

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
    /// Takes in the present record, or that there is none. Returns false without an answer.
    bool learn(const ReadResult &result, SteadyTime readAt);
    void storeRecord(const StoredObject &object, SteadyTime readAt);
    void storeAbsence(SteadyTime readAt);
    /// Whether the present record tells who holds the lease, or that nobody does.
    bool isConclusive() const;
    /// When the holder that this process knows of, or has to expect, may last have renewed.
    SteadyTime lastRenewalBound() const;
    std::chrono::milliseconds holderDuration() const;
    bool isExpired(SteadyTime now) const;
    /// When the holder before this one has sent its last order; nothing if there was none.
    std::optional<SteadyTime> lastOrderBound() const;
    std::uint64_t nextFencing() const;
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
    std::uint64_t m_version = 0;             ///< Of the record; zero when there is none.
    std::optional<SteadyTime> m_recordSince; ///< When the present record was first read.
    std::uint64_t m_era = 0;                 ///< Of the store.
    std::optional<SteadyTime> m_eraSince;    ///< When this process learned of that era.
    std::uint64_t m_highestFencing = 0;      ///< Seen in any record.
    std::optional<SteadyTime> m_previousOrdersEnd;
    std::string m_note;
    bool m_held = false;
    SteadyTime m_heldUntil;
};

} // namespace almondmill
