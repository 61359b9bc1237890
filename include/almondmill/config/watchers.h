#pragma once

#include "almondmill/fleet/member.h"

#include <string>
#include <vector>

namespace almondmill {

/// Number of routers in each data centre that watch the root in the object API.
constexpr std::size_t WatchersPerDataCentre = 3;

/// Addresses of the watchers of a data centre: the members with the highest rendezvous weights
/// among those that are not leaving. Routers with the same view of the fleet select the same
/// watchers; while views differ, some more routers watch. Runs in time linear in the number of
/// members.
std::vector<std::string> watchersOf(const std::string &dataCentre,
                                    const std::vector<Member> &members);

/// Members that the watcher `self` pushes to: those of its data centre that are not watchers and
/// are assigned to it by rendezvous hashing. Each member is assigned to one watcher, so that it
/// does not receive the same push twice.
std::vector<Member> pushTargets(const std::string &self, const std::string &dataCentre,
                                const std::vector<Member> &members);

} // namespace almondmill
