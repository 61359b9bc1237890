#include "almondmill/forward/availabilityrecords.h"

#include "almondmill/directory/registration.h"
#include "almondmill/forward/endpointavailability.h"

namespace almondmill {

AvailabilityRecords::AvailabilityRecords() = default;

AvailabilityRecords::~AvailabilityRecords() = default;

std::shared_ptr<EndpointAvailability> AvailabilityRecords::of(const Registration &registration,
                                                              std::optional<SteadyTime> newAt)
{
    auto &record = m_records[{registration.id, registration.startedAt.count()}];
    if (record)
        return record;
    record = std::make_shared<EndpointAvailability>(registration.slots);
    if (newAt)
        record->pace().begin(PaceCause::Start, *newAt);
    return record;
}

void AvailabilityRecords::removed(const Registration &registration)
{
    m_removed.emplace_back(registration.id, registration.startedAt.count());
    if (m_removed.size() <= MaxRemoved)
        return;
    Incarnation oldest = std::move(m_removed.front());
    m_removed.pop_front();
    const auto found = m_records.find(oldest);
    if (found == m_records.end())
        return;
    const bool isInUse = found->second.use_count() > 1;
    if (isInUse)
        m_removed.push_back(std::move(oldest));
    else
        m_records.erase(found);
}

} // namespace almondmill
