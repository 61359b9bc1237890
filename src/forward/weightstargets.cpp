#include "almondmill/forward/weightstargets.h"

#include "almondmill/kernel/abslview.h"

#include <algorithm>

namespace almondmill {

namespace {

using NamedVersion = WeightsTargets::NamedVersion;

/// Versions kept per model, which bounds the messages that state them.
constexpr std::size_t MaxVersionsPerModel = 24;

/// Several times the longest weights deadline. An engine that has been outdated for this time is
/// past each deadline, whichever of the older versions it serves.
constexpr std::chrono::seconds LongestDeadline{30};

/// Drops the oldest versions, up to the newest one that is past each deadline.
void dropExpired(std::vector<NamedVersion> &named)
{
    const SteadyTime expired = named.back().since - LongestDeadline;
    const auto first =
            std::find_if(named.begin() + 1, named.end() - 1,
                         [expired](const NamedVersion &entry) { return entry.since > expired; });
    named.erase(named.begin(), first - 1);
}

/// Merges the two neighbours that were named in the quickest succession. The later one then counts
/// as named when the earlier one was, so no engine counts as outdated for too short a time.
void mergeClosest(std::vector<NamedVersion> &named)
{
    auto closest = named.begin();
    for (auto entry = named.begin(); entry + 1 != named.end(); ++entry) {
        if ((entry + 1)->since - entry->since < (closest + 1)->since - closest->since)
            closest = entry;
    }
    (closest + 1)->since = std::min(closest->since, (closest + 1)->since);
    named.erase(closest);
}

} // namespace

bool WeightsTargets::learn(const WeightsTarget &target, SteadyTime since)
{
    auto &named = m_named[target.model];
    const auto position = std::lower_bound(named.begin(), named.end(), target.version,
                                           [](const NamedVersion &entry, std::uint64_t version) {
                                               return entry.version < version;
                                           });
    if (position != named.end() && position->version == target.version) {
        position->since = std::min(position->since, since);
        return false;
    }
    const bool isNewest = position == named.end();
    named.insert(position, {target.version, since});
    if (named.size() > MaxVersionsPerModel)
        dropExpired(named);
    if (named.size() > MaxVersionsPerModel)
        mergeClosest(named);
    return isNewest;
}

const std::vector<WeightsTargets::NamedVersion> &
WeightsTargets::knownVersions(std::string_view model) const
{
    static const std::vector<NamedVersion> none;
    const auto found = m_named.find(abslView(model));
    return found == m_named.end() ? none : found->second;
}

std::optional<std::uint64_t> WeightsTargets::newest(std::string_view model) const
{
    const auto found = m_named.find(abslView(model));
    if (found == m_named.end())
        return std::nullopt;
    return found->second.back().version;
}

std::optional<SteadyTime> WeightsTargets::outdatedSince(std::string_view model,
                                                        std::uint64_t version) const
{
    const auto found = m_named.find(abslView(model));
    if (found == m_named.end())
        return std::nullopt;
    std::optional<SteadyTime> since;
    for (const NamedVersion &named : found->second) {
        if (named.version > version)
            since = std::min(since.value_or(named.since), named.since);
    }
    return since;
}

std::vector<WeightsTarget> WeightsTargets::all() const
{
    std::vector<WeightsTarget> targets;
    for (const auto &[model, named] : m_named)
        targets.push_back({model, named.back().version});
    return targets;
}

} // namespace almondmill
