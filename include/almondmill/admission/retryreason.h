#pragma once

namespace almondmill {

/// Why a request is sent once more.
enum class RetryReason {
    Failure, ///< Its attempt has ended without an answer.
    Silence, ///< Its endpoint is silent, and may still answer.
};

} // namespace almondmill
