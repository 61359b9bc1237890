#include "almondmill/forward/recentsoftware.h"

namespace almondmill {

namespace {

struct Merge
{
    RecentSoftware operator()(const MixedSoftware &, const auto &) const { return MixedSoftware{}; }
    RecentSoftware operator()(const auto &, const MixedSoftware &) const { return MixedSoftware{}; }
    RecentSoftware operator()(const MixedSoftware &, const MixedSoftware &) const
    {
        return MixedSoftware{};
    }
    RecentSoftware operator()(const UnknownSoftware &, const SoleSoftware &other) const
    {
        return other;
    }
    RecentSoftware operator()(const SoleSoftware &other, const UnknownSoftware &) const
    {
        return other;
    }
    RecentSoftware operator()(const UnknownSoftware &, const UnknownSoftware &) const
    {
        return UnknownSoftware{};
    }
    RecentSoftware operator()(const SoleSoftware &first, const SoleSoftware &second) const
    {
        if (first.software != second.software)
            return MixedSoftware{};
        return first;
    }
};

} // namespace

RecentSoftware merge(const RecentSoftware &first, const RecentSoftware &second)
{
    return std::visit(Merge(), first, second);
}

std::optional<SoftwareHash> soleSoftware(const RecentSoftware &recent)
{
    const auto *sole = std::get_if<SoleSoftware>(&recent);
    return sole ? std::optional(sole->software) : std::nullopt;
}

} // namespace almondmill
