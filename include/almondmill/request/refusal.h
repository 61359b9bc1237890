#pragma once

#include <string>

namespace almondmill {

/// Whether a request that is refused may have run. `No` is said only when no byte of it was written
/// to an endpoint, `Yes` only when its whole answer had arrived once.
enum class Ran { No, Unknown, Yes };

/// Why a request gets no answer of its own.
struct Refusal
{
    int status = 500;
    std::string code; ///< Stable, such as "unknown_model".
    std::string sentence;
    Ran ran = Ran::No;

    /// The JSON body told to callers.
    std::string json() const;
};

} // namespace almondmill
