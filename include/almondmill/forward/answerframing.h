#pragma once

#include <cstddef>
#include <optional>

namespace almondmill {

/// How the end of an answer's body is marked, and whether the connection closes then.
struct AnswerFraming
{
    std::optional<std::size_t> bodyBytes; ///< Length of the body, if it is known.
    bool isChunked = false;               ///< Otherwise a body without length ends with its
                                          ///< connection.
    bool closes = false;
};

} // namespace almondmill
