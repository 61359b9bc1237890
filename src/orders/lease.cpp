#include "almondmill/orders/lease.h"

#include "almondmill/kernel/error.h"
#include "almondmill/store/conditionalstore.h"
#include "almondmill/store/revision.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Bits of a fencing token that count the holders of one era; the era is above them.
constexpr unsigned FencingCounterBits = 32;

} // namespace

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
    learn(result, clock());
}

void Lease::recordEra(std::uint64_t era, SteadyTime seenAt)
{
    if (m_eraSince && era <= m_era)
        return;
    m_era = era;
    m_eraSince = seenAt;
    m_recordSince.reset();
    setLost();
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
    return record.holder == m_options.holder && record.incarnation == m_options.incarnation
           && record.era == m_era;
}

void Lease::acquire(const Clock &clock)
{
    const auto result = m_store.read(m_options.objectName, m_options.storeTimeout);
    if (!learn(result, clock()))
        return;
    const SteadyTime before = clock();
    // The record is this process's own when an earlier write took effect but its answer was lost,
    // or the process was restarted.
    const bool own = isOwn(m_record);
    if (!own && !isExpired(before))
        return;
    const auto ordersEnd = own ? recordedOrdersEnd() : lastOrderBound();
    const LeaseRecord record =
            nextRecord(own ? m_record.fencing : nextFencing(), ordersEnd, before);
    const std::string value = encodeLease(record);
    const auto written = m_version == 0 ? m_store.createIfAbsent(m_options.objectName, value,
                                                                 m_options.storeTimeout)
                                        : m_store.update(m_options.objectName, value, m_version,
                                                         m_options.storeTimeout);
    const auto *applied = std::get_if<Applied>(&written);
    if (applied && eraOf(applied->version) == m_era) {
        m_previousOrdersEnd = ordersEnd;
        setHeld(record, applied->version, before);
    }
}

void Lease::renew(const Clock &clock)
{
    const SteadyTime before = clock();
    const LeaseRecord record = nextRecord(m_record.fencing, m_previousOrdersEnd, before);
    const auto written = m_store.update(m_options.objectName, encodeLease(record), m_version,
                                        m_options.storeTimeout);
    if (const auto *applied = std::get_if<Applied>(&written)) {
        if (eraOf(applied->version) == m_era)
            setHeld(record, applied->version, before);
        else
            recordEra(eraOf(applied->version), clock());
        return;
    }
    const auto *conflict = std::get_if<Conflict>(&written);
    if (!conflict)
        return;
    if (conflict->current)
        recordEra(eraOf(conflict->current->version), clock());
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

bool Lease::learn(const ReadResult &result, SteadyTime readAt)
{
    if (const auto *absent = std::get_if<Absent>(&result)) {
        recordEra(absent->era, readAt);
        storeAbsence(readAt);
        return true;
    }
    const auto *object = std::get_if<StoredObject>(&result);
    if (!object)
        return false;
    recordEra(eraOf(object->version), readAt);
    storeRecord(*object, readAt);
    return true;
}

void Lease::storeRecord(const StoredObject &object, SteadyTime readAt)
{
    if (m_recordSince && object.version == m_version)
        return;
    m_record = decodeLease(object.value);
    m_version = object.version;
    m_recordSince = readAt;
    m_highestFencing = std::max(m_highestFencing, m_record.fencing);
}

void Lease::storeAbsence(SteadyTime readAt)
{
    if (m_recordSince && m_version == 0)
        return;
    m_record = LeaseRecord();
    m_version = 0;
    m_recordSince = readAt;
}

bool Lease::isConclusive() const
{
    return m_record.era == m_era;
}

SteadyTime Lease::lastRenewalBound() const
{
    // A release that doesn't state eras may go on renewing a record.
    const bool mayBeRenewed = m_version != 0 && m_record.era == 0;
    return isConclusive() || mayBeRenewed ? *m_recordSince : *m_eraSince;
}

std::chrono::milliseconds Lease::holderDuration() const
{
    return isConclusive() ? m_record.duration : m_options.duration;
}

bool Lease::isExpired(SteadyTime now) const
{
    if (isConclusive() && m_record.holder.empty())
        return true;
    return now >= lastRenewalBound() + holderDuration() + m_options.orderTimeout;
}

std::optional<SteadyTime> Lease::lastOrderBound() const
{
    if (!isConclusive() || !m_record.holder.empty())
        return lastRenewalBound() + holderDuration() - m_options.orderTimeout;
    return m_version == 0 ? std::nullopt : std::optional(*m_recordSince - m_record.idle);
}

std::uint64_t Lease::nextFencing() const
{
    return std::max(m_highestFencing, m_era << FencingCounterBits) + 1;
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
    LeaseRecord record{m_options.holder,
                       m_options.incarnation,
                       fencing,
                       m_record.renewal + 1,
                       m_options.duration,
                       std::chrono::milliseconds(0),
                       m_note,
                       std::nullopt,
                       m_era};
    if (previousOrdersEnd)
        record.previousOrdersAge =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - *previousOrdersEnd);
    return record;
}

void Lease::setHeld(const LeaseRecord &record, std::uint64_t version, SteadyTime countedFrom)
{
    m_record = record;
    m_version = version;
    m_highestFencing = std::max(m_highestFencing, record.fencing);
    m_held = true;
    m_heldUntil = countedFrom + record.duration;
    m_recordSince.reset();
}

} // namespace almondmill
