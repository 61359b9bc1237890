#pragma once

#include <string>

namespace almondmill::test {

/// A loopback address that no other test process uses at the same time, another at each call, so
/// that tests need no free port: "127.a.b.n".
std::string nextLoopbackAddress();

} // namespace almondmill::test
