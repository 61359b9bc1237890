#pragma once

#include "almondmill/fleet/member.h"

#include <string>
#include <vector>

namespace almondmill {

/// Routers of each data centre that watch the root in the object API.
constexpr std::size_t WatchersPerDataCentre = 3;

/// Addresses of the watchers of a data centre: those of its live members that come first in
/// rendezvous order. Routers with the same view choose the same; with different views a few more
/// watch for a while. Cost: linear in the members.
std::vector<std::string> watchersOf(const std::string &dataCentre,
                                    const std::vector<Member> &members);

/// Members that the watcher `self` pushes to: those of its data centre that do not watch themselves
/// and that come to it among the watchers. Each member has one watcher, so pushes are not doubled.
std::vector<Member> pushTargets(const std::string &self, const std::string &dataCentre,
                                const std::vector<Member> &members);

} // namespace almondmill
