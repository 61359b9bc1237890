#pragma once

#include <string>

namespace almondmill::test {

/// Returns a loopback address, "127.a.b.n", that differs at each call and belongs to a network that
/// this process has reserved, so that concurrent test processes use fixed ports without conflicts.
std::string nextLoopbackAddress();

} // namespace almondmill::test
