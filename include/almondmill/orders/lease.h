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

/// How a lease is held.
struct LeaseOptions
{
    std::string objectName;
    std::string holder;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds duration{6000};

    /// Longest time that an order may be under way; a new holder waits it out beyond the lease.
    std::chrono::milliseconds orderTimeout{2000};
    std::chrono::milliseconds storeTimeout{1000};
};

/// A lease held by conditional updates of one object. Time is counted on this process's steady
/// clock: the holder counts from before each renewal was sent, a would-be holder from after it
/// first saw the record as it stands, so two processes never believe in the same instant that they
/// may order, but for a process paused between its check and its act. Orders therefore carry the
/// fencing number. Not safe for several threads.
class Lease
{
public:
    using Clock = std::function<SteadyTime()>;

    Lease(ConditionalStore &store, LeaseOptions options);

    /// Whether an order sent at `now` ends, at its timeout, while the lease still holds.
    bool mayOrder(SteadyTime now) const;

    /// Whether this process holds the lease at `now`.
    bool held(SteadyTime now) const { return m_held && now < m_heldUntil; }

    /// Until when it is held; meaningless unless `held`.
    SteadyTime heldUntil() const { return m_heldUntil; }

    /// By when the orders of the holder before this process have all been sent; nothing when there
    /// was none.
    std::optional<SteadyTime> previousOrdersEnd() const { return m_previousOrdersEnd; }

    /// Number that each order carries; zero unless the lease was once held.
    std::uint64_t fencing() const { return m_held ? m_record.fencing : 0; }

    /// Holder according to the record last seen; empty when there was none.
    const std::string &lastSeenHolder() const { return m_record.holder; }

    /// Acquires or renews where that is due; at most two calls to the store. `clock` tells the time
    /// before and after them.
    void maintain(const Clock &clock);

    /// Notes the record as it stands, without asking for the lease; one call to the store.
    void observe(const Clock &clock);

    /// What the record last seen holds as its holder's note.
    const std::string &lastSeenNote() const { return m_record.note; }

    /// Goes with each record that this process writes from now on.
    void setNote(std::string note) { m_note = std::move(note); }

    /// Gives the lease up, so that another may take it without waiting; the last order under it was
    /// sent `idle` ago. Best effort.
    void release(std::chrono::milliseconds idle = std::chrono::milliseconds(0));

private:
    bool isOwn(const LeaseRecord &record) const;
    void acquire(const Clock &clock);
    void renew(const Clock &clock);
    void create(const Clock &clock);
    void observe(const std::string &value, std::uint64_t version, SteadyTime seenAt);
    bool lapsed(SteadyTime now) const;
    SteadyTime ordersEnd() const;
    LeaseRecord nextRecord(std::uint64_t fencing) const;
    void hold(const LeaseRecord &record, std::uint64_t version, SteadyTime countedFrom);
    void lose() { m_held = false; }

    ConditionalStore &m_store;
    LeaseOptions m_options;
    LeaseRecord m_record;
    std::uint64_t m_version = 0;
    std::optional<SteadyTime> m_seenSince; ///< Since when the record stands as it is.
    std::optional<SteadyTime> m_previousOrdersEnd;
    std::string m_note;
    bool m_held = false;
    SteadyTime m_heldUntil;
};

} // namespace almondmill
