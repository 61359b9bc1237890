#pragma once

#include <string>

namespace almondmill {

/// Whether a refused request may have been executed. `No` only when no byte of it was written to an
/// endpoint, `Yes` only when a complete response to it had arrived before.
enum class Executed { No, Unknown, Yes };

/// Error that the router returns instead of an endpoint's response.
struct Refusal
{
    int status = 500;
    std::string code; ///< Stable error code, such as "unknown_model".
    std::string message;
    Executed executed = Executed::No;

    /// The JSON body of the response to the caller.
    std::string json() const;
};

} // namespace almondmill
