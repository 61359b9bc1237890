#pragma once

namespace almondmill {

/// Marks a read-side section of read-copy-update. Must not outlive a blocking call. Cost: a few
/// nanoseconds, no shared write.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Waits until every read-side section open at the call has ended. Never called inside one.
void rcuSynchronize();

} // namespace almondmill
