#include "almondmill/kernel/rcu.h"

#include <urcu-bp.h>

namespace almondmill {

RcuReadGuard::RcuReadGuard()
{
    rcu_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    rcu_read_unlock();
}

void rcuSynchronize()
{
    synchronize_rcu();
}

} // namespace almondmill
