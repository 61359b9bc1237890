#pragma once

#include <string>

namespace almondmill::standin {

/// What the platform stand-in does wrong at the moment. Set with `POST /switch`.
enum class FaultMode {
    None,
    Outage,     ///< Every call gets status 503 and has no effect.
    Silent,     ///< Calls are accepted and never answered; they have no effect.
    Slow,       ///< Calls take effect after a delay.
    HoldAnswer, ///< Changes take effect, and their answers wait until the mode is another.
    LoseAnswer, ///< Changes take effect, and their answers are lost.
};

/// Parses "none", "outage", "silent", "slow", "hold-answer" or "lose-answer". Throws Error
/// "standin.101".
FaultMode parseFaultMode(const std::string &text);

} // namespace almondmill::standin
