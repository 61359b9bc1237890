#pragma once

#include <string>

namespace almondmill::standin {

/// Fault injected into the calls to the platform stand-in. Set with `POST /switch`.
enum class FaultMode {
    None,
    Outage,     ///< Every call is answered with status 503 and has no effect.
    Silent,     ///< Calls are accepted without an answer and have no effect.
    Slow,       ///< Calls take effect after a delay.
    HoldAnswer, ///< Changes take effect; their answers are delayed until the mode changes.
    LoseAnswer, ///< Changes take effect, but are answered with status 500.
};

/// Parses "none", "outage", "silent", "slow", "hold-answer" or "lose-answer". Throws Error
/// "standin.101".
FaultMode parseFaultMode(const std::string &text);

} // namespace almondmill::standin
