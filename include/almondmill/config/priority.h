#pragma once

namespace almondmill {

/// Scheduling priority of a request; also passed on to engines.
enum class Priority { High, Low };

} // namespace almondmill
