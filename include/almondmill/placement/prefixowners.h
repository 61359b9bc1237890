#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace almondmill {

class Configuration;
class MemberView;

/// Address of the router that owns the prefix: rendezvous over the members of the data centre's
/// region that are not leaving; empty when there is none. Advice only: two routers with different
/// views may name two owners. Cost: linear in the members.
std::string prefixOwner(std::uint64_t key, const MemberView &members,
                        const Configuration &configuration, std::string_view dataCentre);

} // namespace almondmill
