#include "almondmill/forward/weightstargets.h"

#include "almondmill/kernel/abslview.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Maximum number of versions kept per model: more than are named within the longest weights
/// deadline.
constexpr std::size_t MaxVersionsPerModel = 8;

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
        named.erase(named.begin());
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
    for (const NamedVersion &named : found->second) {
        if (named.version > version)
            return named.since;
    }
    return std::nullopt;
}

std::vector<WeightsTarget> WeightsTargets::all() const
{
    std::vector<WeightsTarget> targets;
    for (const auto &[model, named] : m_named)
        targets.push_back({model, named.back().version});
    return targets;
}

} // namespace almondmill
