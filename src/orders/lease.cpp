#include "almondmill/orders/lease.h"

#include "almondmill/kernel/error.h"
#include "almondmill/store/conditionalstore.h"

namespace almondmill {

Lease::Lease(ConditionalStore &store, LeaseOptions options)
    : m_store(store)
    , m_options(std::move(options))
{}

bool Lease::mayOrder(SteadyTime now) const
{
    return m_held && now + m_options.orderTimeout < m_heldUntil;
}

void Lease::maintain(const Clock &clock)
{
    if (m_held && clock() >= m_heldUntil)
        setLost();
    if (m_held)
        renew(clock);
    else
        acquire(clock);
}

void Lease::observe(const Clock &clock)
{
    const auto result = m_store.read(m_options.objectName, m_options.storeTimeout);
    if (const auto *object = std::get_if<StoredObject>(&result))
        storeRecord(object->value, object->version, clock());
}

void Lease::release(std::chrono::milliseconds idle)
{
    if (!m_held)
        return;
    setLost();
    LeaseRecord record = nextRecord(m_record.fencing, std::nullopt, SteadyTime());
    record.holder.clear();
    record.duration = std::chrono::milliseconds(0);
    record.idle = idle;
    m_store.update(m_options.objectName, encodeLease(record), m_version, m_options.storeTimeout);
}

bool Lease::isOwn(const LeaseRecord &record) const
{
    return record.holder == m_options.holder && record.incarnation == m_options.incarnation;
}

void Lease::acquire(const Clock &clock)
{
    const auto result = m_store.read(m_options.objectName, m_options.storeTimeout);
    if (std::holds_alternative<Absent>(result)) {
        create(clock);
        return;
    }
    const auto *object = std::get_if<StoredObject>(&result);
    if (!object)
        return;
    storeRecord(object->value, object->version, clock());
    const SteadyTime before = clock();
    // The record is this process's own when an earlier write took effect but its answer was lost,
    // or the process was restarted.
    const bool own = isOwn(m_record);
    if (!own && !isExpired(before))
        return;
    const auto ordersEnd = own ? recordedOrdersEnd() : lastOrderBound();
    const LeaseRecord record =
            nextRecord(own ? m_record.fencing : m_record.fencing + 1, ordersEnd, before);
    const auto written = m_store.update(m_options.objectName, encodeLease(record), m_version,
                                        m_options.storeTimeout);
    if (const auto *applied = std::get_if<Applied>(&written)) {
        m_previousOrdersEnd = ordersEnd;
        setHeld(record, applied->version, before);
    }
}

void Lease::create(const Clock &clock)
{
    const SteadyTime before = clock();
    const LeaseRecord record = nextRecord(1, std::nullopt, before);
    const auto written = m_store.createIfAbsent(m_options.objectName, encodeLease(record),
                                                m_options.storeTimeout);
    if (const auto *applied = std::get_if<Applied>(&written))
        setHeld(record, applied->version, before);
}

void Lease::renew(const Clock &clock)
{
    const SteadyTime before = clock();
    const LeaseRecord record = nextRecord(m_record.fencing, m_previousOrdersEnd, before);
    const auto written = m_store.update(m_options.objectName, encodeLease(record), m_version,
                                        m_options.storeTimeout);
    if (const auto *applied = std::get_if<Applied>(&written)) {
        setHeld(record, applied->version, before);
        return;
    }
    const auto *conflict = std::get_if<Conflict>(&written);
    if (!conflict)
        return;
    // If the record is this process's own, an earlier renewal took effect but its answer was lost.
    // The lease is not extended, because it is unknown when that renewal was written.
    if (conflict->current) {
        const LeaseRecord current = decodeLease(conflict->current->value);
        if (isOwn(current) && current.fencing == m_record.fencing) {
            m_record = current;
            m_version = conflict->current->version;
            return;
        }
    }
    setLost();
    m_recordSince.reset();
}

void Lease::storeRecord(const std::string &value, std::uint64_t version, SteadyTime readAt)
{
    if (m_recordSince && version == m_version)
        return;
    m_record = decodeLease(value);
    m_version = version;
    m_recordSince = readAt;
}

bool Lease::isExpired(SteadyTime now) const
{
    if (m_record.holder.empty())
        return true;
    return now >= *m_recordSince + m_record.duration + m_options.orderTimeout;
}

SteadyTime Lease::lastOrderBound() const
{
    if (m_record.holder.empty())
        return *m_recordSince - m_record.idle;
    return *m_recordSince + m_record.duration - m_options.orderTimeout;
}

std::optional<SteadyTime> Lease::recordedOrdersEnd() const
{
    if (!m_record.previousOrdersAge)
        return std::nullopt;
    return *m_recordSince - *m_record.previousOrdersAge;
}

LeaseRecord Lease::nextRecord(std::uint64_t fencing, std::optional<SteadyTime> previousOrdersEnd,
                              SteadyTime now) const
{
    LeaseRecord record{
            m_options.holder,   m_options.incarnation,        fencing, m_record.renewal + 1,
            m_options.duration, std::chrono::milliseconds(0), m_note,  std::nullopt};
    if (previousOrdersEnd)
        record.previousOrdersAge =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - *previousOrdersEnd);
    return record;
}

void Lease::setHeld(const LeaseRecord &record, std::uint64_t version, SteadyTime countedFrom)
{
    m_record = record;
    m_version = version;
    m_held = true;
    m_heldUntil = countedFrom + record.duration;
    m_recordSince.reset();
}

} // namespace almondmill
