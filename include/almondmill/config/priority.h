#pragma once

namespace almondmill {

/// Which requests go first. Passed on to engines.
enum class Priority { High, Low };

} // namespace almondmill
