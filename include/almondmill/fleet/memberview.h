#pragma once

#include "almondmill/fleet/member.h"

#include <memory>
#include <vector>

namespace almondmill {

/// The live routers as this one sees them, itself included, in the order of their addresses. Views
/// of two routers may differ for a while; what rests on them must be advice only.
class MemberView
{
public:
    using Members = std::vector<Member>;

    virtual ~MemberView() = default;

    /// The members in force: one counted reference, no lock that a slow call can hold.
    virtual std::shared_ptr<const Members> members() const = 0;

    /// Address of this router.
    virtual const std::string &self() const = 0;
};

} // namespace almondmill
