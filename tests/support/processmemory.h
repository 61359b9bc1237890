#pragma once

#include <sys/types.h>

#include <cstddef>

namespace almondmill::test {

/// Largest resident memory of the process so far (VmHWM), in bytes; zero if it has ended.
std::size_t peakMemoryOf(pid_t process);

/// Present resident memory of the process (VmRSS), in bytes; zero if it has ended.
std::size_t memoryOf(pid_t process);

/// Number of open descriptors of the process.
std::size_t descriptorsOf(pid_t process);

} // namespace almondmill::test
