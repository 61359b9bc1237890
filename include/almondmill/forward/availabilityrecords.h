#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace almondmill {

class EndpointAvailability;
struct Registration;

/// What incarnations of endpoints have stated about themselves. A statement is kept when the
/// registration is removed, because a registration that expired may return with the same
/// incarnation.
class AvailabilityRecords
{
public:
    /// Removed incarnations whose statements are kept.
    static constexpr std::size_t MaxRemoved = 1024;

    AvailabilityRecords();
    ~AvailabilityRecords();

    /// The record of the incarnation that `registration` names. `newAt` is set when it may have
    /// just started: the pace of an incarnation without a record then begins at that time.
    std::shared_ptr<EndpointAvailability> of(const Registration &registration,
                                             std::optional<SteadyTime> newAt = std::nullopt);

    /// The registration was removed; its record is kept until `MaxRemoved` others were.
    void removed(const Registration &registration);

private:
    using Incarnation = std::pair<std::string, std::chrono::milliseconds::rep>;

    absl::flat_hash_map<Incarnation, std::shared_ptr<EndpointAvailability>> m_records;
    std::deque<Incarnation> m_removed;
};

} // namespace almondmill
