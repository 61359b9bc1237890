#pragma once

#include "almondmill/fleet/member.h"

#include <memory>
#include <vector>

namespace almondmill {

/// The live routers as this router sees them, itself included, sorted by address. Membership is
/// eventually consistent: the views of two routers may differ, so decisions that need agreement,
/// such as who may write, must not depend on them.
class MemberView
{
public:
    using Members = std::vector<Member>;

    virtual ~MemberView() = default;

    /// Snapshot of the current members. Copies one reference-counted pointer and takes no lock that
    /// is held during a slow call.
    virtual std::shared_ptr<const Members> members() const = 0;

    /// Address of this router.
    virtual const std::string &self() const = 0;
};

} // namespace almondmill
