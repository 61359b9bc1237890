#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace almondmill {

class Configuration;
class MemberView;

/// Address of the router that owns the prefix: rendezvous hashing over the members in the data
/// centre's region that are not leaving; empty when there is none. Advisory only: routers with
/// different member views may name different owners. Cost: linear in the members.
std::string prefixOwner(std::uint64_t key, const MemberView &members,
                        const Configuration &configuration, std::string_view dataCentre);

} // namespace almondmill
