#pragma once

namespace almondmill {

/// Scope of a read-side critical section of read-copy-update (RCU). Must not be held during a
/// blocking call. Costs a few nanoseconds and writes no shared memory.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Waits for an RCU grace period: until every read-side critical section that was open at the call
/// has ended. Must not be called inside a read-side critical section.
void rcuSynchronize();

} // namespace almondmill
