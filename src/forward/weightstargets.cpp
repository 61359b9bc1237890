#include "almondmill/forward/weightstargets.h"

#include "almondmill/kernel/abslview.h"

namespace almondmill {

namespace {

/// Versions remembered for a model: many times as many as are named within the longest bound.
constexpr std::size_t MostVersions = 32;

} // namespace

bool WeightsTargets::learn(const WeightsTarget &target, SteadyTime now)
{
    auto &named = m_named[target.model];
    if (!named.empty() && target.version <= named.back().version)
        return false;
    named.push_back({target.version, now});
    if (named.size() > MostVersions)
        named.erase(named.begin());
    return true;
}

std::optional<std::uint64_t> WeightsTargets::newest(std::string_view model) const
{
    const auto found = m_named.find(abslView(model));
    if (found == m_named.end())
        return std::nullopt;
    return found->second.back().version;
}

std::optional<SteadyTime> WeightsTargets::oldSince(std::string_view model,
                                                   std::uint64_t version) const
{
    const auto found = m_named.find(abslView(model));
    if (found == m_named.end())
        return std::nullopt;
    for (const Named &named : found->second) {
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
